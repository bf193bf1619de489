@0xd0a3f2b7c1e54a61;

struct ClaimOrders {
  orders @0 :List(ClaimOrder);
  deadline @1 :Float64;  # Unix time in seconds
}

struct ClaimOrder {
  kind @0 :UInt16;
  key @1 :Data;
  expected @2 :Data;
  value @3 :Data;
}

struct ClaimReplies {
  replies @0 :List(ClaimReply);
}

struct ClaimReply {
  answered @0 :Bool;    # false if the store did not reply
  applied @1 :Bool;
  hasCurrent @2 :Bool;
  current @3 :Data;
  sent @4 :Bool;        # if the store did not reply: the order may have been applied
  reason @5 :Text;
}

struct ClaimsEra {
  era @0 :UInt32;       # era of the store; in a reply: in which the claims are stored again
}
