@0xe4b1720c96d35fa9;

using Evidence = import "../crashes/crash_evidence.capnp";

# Message of kind QUARANTINE.

struct Death {
  engine @0 :Text;
  bootId @1 :Text;
  diedAt @2 :Float64;        # Unix time in seconds
}

struct Report {
  fingerprint @0 :Text;
  deaths @1 :List(Death);
  expiresAt @2 :Float64;     # Unix time in seconds
  heldEngine @3 :Text;
  heldUntil @4 :Float64;     # Unix time in seconds
}

struct Quarantine {
  reports @0 :List(Report);
  crashes @1 :List(Evidence.CrashReport);
  survivals @2 :List(Evidence.SurvivalReport);
}
