@0xb6c04f1e29d7a583;

# Evidence about crash-causing requests. Ages, since hosts have no clock in common.

struct CrashReport {
  fingerprint @0 :Data;
  endpoint @1 :Text;
  startedAt @2 :UInt64;
  failureDomain @3 :Text;
  parts @4 :List(Data);
  ageMs @5 :UInt32;
}

struct SurvivalReport {
  digest @0 :Data;
  isPart @1 :Bool;              # false for a whole request
  count @2 :Float32;
  ageMs @3 :UInt32;
}
