@0xc2a4e1d07b95f386;

enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
}

enum DatagramKind {
  ping @0;
  ack @1;
  pingRequest @2;
  pingRequestTaken @3;
  syncRequest @4;
  syncReply @5;
  gossip @6;
}

struct MemberUpdate {
  hostId @0 :Text;
  failureDomain @1 :Text;
  ip @2 :UInt32;
  peerPort @3 :UInt16;
  gossipPort @4 :UInt16;
  apiPort @5 :UInt16;
  addresses @6 :Text;
  incarnation @7 :UInt64;
  state @8 :MemberState;
}

struct DomainBeat {
  failureDomain @0 :Text;
  clock @1 :UInt64;
}

struct Datagram {
  kind @0 :DatagramKind;
  sender @1 :MemberUpdate;
  sequence @2 :UInt64;
  targetId @3 :Text;
  cursor @4 :Text;
  updates @5 :List(MemberUpdate);
  page @6 :List(MemberUpdate);
  tableDigest @7 :UInt64;
  beats @8 :List(DomainBeat);
  listRevision @9 :UInt64;
  clock @10 :UInt64;
}
