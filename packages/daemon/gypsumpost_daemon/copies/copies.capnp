@0xd1a7c3f0b5e94821;

struct Pieces {
  # Pieces of an answer in columns, which is cheaper than one struct for each piece.
  start @0 :UInt32;
  tokenIds @1 :Data;      # uint32, little endian
  tokenCounts @2 :Data;   # uint32 for each piece
  text @3 :Text;
  textCounts @4 :Data;    # uint32 characters for each piece
}

struct Record {
  generationId @0 :Text;
  workspace @1 :Text;
  requestId @2 :Text;
  idempotencyKey @3 :Text;
  kind @4 :Text;
  body @5 :Data;
  model @6 :Text;
  maxTokens @7 :UInt32;
  stop @8 :List(Text);
  returnTokenIds @9 :Bool;
  stream @10 :Bool;
  priority @11 :Int32;
  createdAt @12 :Float64;
  deadline @13 :Float64;
  keepUntil @14 :Float64;
  epoch @15 :UInt32;
  attempt @16 :UInt32;
  attemptBase @17 :UInt32;
  engine @18 :Text;
  engineAddress @19 :Text;
  exactModel @20 :Text;
  exactVersion @21 :Text;
  exactAdapter @22 :Text;
  promptTokenIds @23 :Data;
  pieces @24 :Pieces;
  finishReason @25 :Text;
  streamId @26 :Text;
  ownerTag @27 :Text;
  origins @28 :Text;        # name:base of each attempt, separated by commas
}

struct Append {
  generationId @0 :Text;
  epoch @1 :UInt32;
  pieces @2 :Pieces;
  finishReason @3 :Text;
}

struct CopyBatch {
  # Changes to generations of one owner, applied in order.
  opened @0 :List(Record);
  appended @1 :List(Append);
  closed @2 :List(Text);
  columns @3 :AppendColumns;  # appends of generations that have not ended
}

struct AppendColumns {
  # Appends in columns: one value for each generation, then one for each piece or token.
  generationIds @0 :Text;   # separated by commas
  epochs @1 :Data;          # uint32, little endian, like all counts
  starts @2 :Data;
  pieceCounts @3 :Data;
  tokenIds @4 :Data;
  tokenCounts @5 :Data;     # tokens of each piece
  text @6 :Text;
  textCounts @7 :Data;      # characters for each piece
}

struct CopyReply {
  stale @0 :List(Text);     # generations that another daemon has taken over
  missing @1 :List(Text);   # generations that the holder does not have
  refused @2 :List(Text);   # generations for which the holder has no memory left
}

struct TakeOver {
  generationId @0 :Text;
  workspace @1 :Text;
  lostOwner @2 :Text;       # owner that the requesting host could not reach
}

struct TakeOverReply {
  found @0 :Bool;
  record @1 :Record;
  owner @2 :Text;           # host to ask instead, as the generation was handed over to it
}

struct RegisterKey {
  workspace @0 :Text;
  key @1 :Text;
  digest @2 :Text;
  generationId @3 :Text;
  home @4 :Text;
  copy @5 :Text;
  keepUntil @6 :Float64;
  update @7 :Bool;          # replaces an existing entry for the key
  createdAt @8 :Float64;
}
