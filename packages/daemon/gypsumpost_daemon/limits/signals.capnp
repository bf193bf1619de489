@0xa1f0c93d57be8264;

# ENDPOINT_SIGNALS: what endpoints have said about themselves.

using Limit = import "limit.capnp".Limit;

struct Signals {
  limits @0 :List(Limit);
  leaving @1 :List(Text);    # names of endpoints
}
