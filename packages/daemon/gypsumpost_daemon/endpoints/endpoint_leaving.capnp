@0xc93a5be1d02f7748;

# Message of ENDPOINT_LEAVING; the request and the reply have the same form.
struct StoppedEndpoints {
  revision @0 :UInt64;  # of the store
  names @1 :List(Text);
}
