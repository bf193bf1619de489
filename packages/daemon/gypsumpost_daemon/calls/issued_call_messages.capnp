@0xb7c5d2e94f10a3c9;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct IssuedCallRequest {
  method @0 :Text;
  path @1 :Text;
  query @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  workspace @5 :Text;
  requestId @6 :Text;
  deadline @7 :Float64;  # Unix time in seconds
}

struct IssuedCallReply {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}
