@0xc93a5be1d02f7748;

# Message of kind ENDPOINT_LEAVING, used as request and as reply.
struct StoppedEndpoints {
  revision @0 :UInt64;  # store revision
  names @1 :List(Text);
}
