@0xe47ab3f8612d905c;

# TAKE_PERMIT requests and replies. Times are relative, since hosts have no clock in common.

using Limit = import "limit.capnp".Limit;

struct PermitRequest {
  group @0 :Text;
  limits @1 :List(Limit);    # of the endpoints that may be used, in order of preference
  priority @2 :Int32;
  queueMs @3 :UInt32;        # how long it may wait behind other requests
  waitMs @4 :UInt32;         # how long it may wait if no other request waits
}

struct PermitReply {
  verdict @0 :Text;
  key @1 :Text;              # the endpoint to send the request to, if it is granted
  opensInMs @2 :UInt32;      # after how long a refused request may come back
}
