@0xd1f3a86c5e9b7247;

# Datagrams between gateways, and the reply to DIRECTORY_STATE.

struct EngineUse {
  engine @0 :Text;
  running @1 :UInt32;
  readingTokens @2 :UInt32;
  memoryTokens @3 :UInt32;
  copyTokens @4 :UInt32;
}

struct Loss {
  endpoint @0 :Text;
  startedAt @1 :UInt64;      # Unix milliseconds of the endpoint's start
}

struct CrashReport {
  fingerprint @0 :Data;
  endpoint @1 :Text;
  startedAt @2 :UInt64;
}

struct CopyReport {
  fingerprint @0 :Data;
  requestId @1 :Text;
  copyEngine @2 :Text;
}

struct Beacon {
  hostId @0 :Text;
  sequence @1 :UInt64;
  version @2 :UInt64;           # version of the configuration in force
  endpointRevision @3 :UInt64;  # newest change of an endpoint that is known
  uses @4 :List(EngineUse);
  losses @5 :List(Loss);
  crashes @6 :List(CrashReport);
  failureDomain @7 :Text;
  copies @8 :List(CopyReport);
}

struct Item {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
}

struct ItemSet {
  prefix @0 :Text;
  revision @1 :UInt64;
  items @2 :List(Item);
}

struct DirectoryState {
  sets @0 :List(ItemSet);
}
