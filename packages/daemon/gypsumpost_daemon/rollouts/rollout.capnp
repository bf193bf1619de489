@0xe3a94b7d0c5f2618;

# What hosts tell each other of roll-outs.

struct Record {
  service @0 :Text;
  targetVersion @1 :Text;
  orderRevision @2 :UInt64;
  phase @3 :Text;
  share @4 :Float64;
  spare @5 :UInt32;
  barred @6 :List(Text);
  startedAt @7 :Int64;       # Unix milliseconds
  shareSince @8 :Int64;      # Unix milliseconds
  deadline @9 :Int64;        # Unix milliseconds
  fencingToken @10 :UInt64;
  reason @11 :Text;
  hosts @12 :UInt32;
  orderSeconds @13 :Float64; # 0 if it is not known
}

# Counts of evidence. Packed numbers are decoded much faster than a list of structs.
struct Evidence {
  epoch @0 :UInt64;
  names @1 :List(Text);      # services, versions and routes
  numbers @2 :Data;          # for each row: three indexes into the names, group, window and counts
}

struct Report {
  records @0 :List(Record);
  confirmedAge @1 :UInt32;   # milliseconds since the decider held its lease; the highest for never
  evidence @2 :Evidence;
  confirmedToken @3 :UInt64;
  confirmedNumber @4 :UInt32;
}
