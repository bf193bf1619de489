@0x9d52c7e1b0a84f36;

# The limit on requests that an endpoint has named, as hosts tell each other.

struct Limit {
  key @0 :Text;              # the process of the endpoint
  perSecond @1 :Float64;     # negative once the endpoint has no limit any more
  number @2 :UInt32;         # number of the change; the higher one is newer
}
