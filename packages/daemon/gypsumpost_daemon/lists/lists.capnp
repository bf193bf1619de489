@0xd1c7a4f0b92e3586;

# LIST_CHANGES and LIST_REVISION messages. Each request and each reply is an Update.

struct Plan {
  name @0 :Text;
  plan @1 :Text;
  keys @2 :List(Data);
}

struct Allowance {
  name @0 :Text;
  models @1 :List(Text);
  services @2 :List(Text);
  requestsPerSecond @3 :Float64;
  tokensPerSecond @4 :Float64;
  concurrentGenerations @5 :UInt32;
  priority @6 :UInt32;
  deadlineSeconds @7 :Float64;
}

struct Change {
  revision @0 :UInt64;
  plans @1 :List(Plan);
  allowances @2 :List(Allowance);
  removedPlans @3 :List(Text);
  removedAllowances @4 :List(Text);
}

struct Update {
  # The sender's revision.
  revision @0 :UInt64;
  # Unix time in seconds of the latest store contact known to the sender; 0 for none.
  storeSeenAt @1 :Float64;
  changes @2 :List(Change);
  # All entries, if the receiver is too far behind for incremental changes.
  snapshot @3 :Change;
}
