@0xd3a1c5e07b924f16;

# PREFILL_TURN requests and replies. Times are relative, since hosts have no clock in common.

struct TurnRequest {
  engine @0 :Text;        # key of the engine's process
  prefillMs @1 :UInt32;   # expected prefill time of the prompt
}

struct TurnReply {
  granted @0 :Bool;
  opensInMs @1 :UInt32;   # after how long the engine takes a further prompt
}
