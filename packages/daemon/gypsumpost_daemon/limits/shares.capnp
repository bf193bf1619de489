@0xb8e20d5c9f41a637;

# REPORT_DEMAND requests and replies. Packing removes zero bytes, so small numbers are short.

struct Amounts {
  requestMilli @0 :UInt32;   # thousandths of a request per second
  tokens @1 :UInt32;         # tokens per second
  generations @2 :UInt32;
}

struct Report {
  workspace @0 :Text;
  heldNumber @1 :UInt64;
  held @2 :Amounts;
  demand @3 :Amounts;
}

struct Reports {
  number @0 :UInt64;
  sentAt @1 :UInt64;         # Unix time in milliseconds on the sender's clock
  reports @2 :List(Report);
}

struct Grant {
  workspace @0 :Text;
  amounts @1 :Amounts;
  deadline @2 :UInt64;       # Unix time in milliseconds on the receiver's clock
}

struct Grants {
  grants @0 :List(Grant);
}
