@0xd1f3a86c5e9b7247;

using Evidence = import "../crashes/crash_evidence.capnp";
using RolloutReport = import "../rollouts/rollout.capnp".Report;
using Limit = import "../limits/limit.capnp".Limit;

# Datagrams between gateways, and requests and replies of STREAM_STATE, STREAM_MEMORY and
# DIRECTORY_STATE.

# Usage by engine. Packed numbers are decoded in a tenth of the time of a list of structs.
struct Uses {
  engines @0 :Text;             # ids separated by spaces
  numbers @1 :Data;             # for each engine: running streams, prompt tokens to prefill, memory
                                # tokens and copy tokens, as 32-bit little-endian numbers
}

struct EndpointStart {
  endpoint @0 :Text;
  startedAt @1 :UInt64;      # Unix milliseconds
}

struct CopyReport {
  fingerprint @0 :Data;
  requestId @1 :Text;
  copyEngine @2 :Text;
  continues @3 :Text;           # id of the stream that this one continues, empty for none
  broken @4 :Bool;              # true if the stream has ended before its last event
  lastEventId @5 :Data;         # of a broken stream: the last event passed on
}

struct HostReport {
  hostId @0 :Text;
  failureDomain @1 :Text;
  linkMbps @2 :UInt32;
  watching @3 :Bool;
  storeLost @4 :Bool;
}

struct RetryCount {
  service @0 :Text;
  requests @1 :UInt32;
  repeats @2 :UInt32;
}

struct Rates {
  engines @0 :Text;             # ids, separated by spaces
  numbers @1 :Data;             # prefill rate of each in 10 tokens/s, 16 bits, little-endian
}

struct Beacon {
  host @0 :HostReport;
  ip @1 :Text;
  coversDomain @2 :Bool;
  sequence @3 :UInt64;
  version @4 :UInt64;           # version of the applied configuration
  endpointRevision @5 :UInt64;  # revision of the newest known endpoint change
  uses @6 :Uses;
  losses @7 :List(EndpointStart);
  returns @8 :List(EndpointStart);
  crashes @9 :List(Evidence.CrashReport);
  copies @10 :List(CopyReport);
  retries @11 :List(RetryCount);
  rates @12 :Rates;
  survivals @13 :List(Evidence.SurvivalReport);
  leaving @14 :List(EndpointStart);
  limits @15 :List(Limit);
  rollouts @16 :RolloutReport;
  incarnation @17 :UInt64;      # process of the sender: Unix milliseconds of its start
  copiesLeftOut @18 :Bool;      # true if the copies did not fit into the datagram
  begun @19 :Data;              # digests, 8 bytes each, of streams that began in the domain lately
  confirmedMsAgo @20 :UInt32 = 4294967295;  # since the store confirmed the version; most: never
  era @21 :UInt32;              # era of the store to which endpointRevision belongs, 0 for none
  endpointsToldMsAgo @22 :UInt32 = 4294967295;  # since the store told of the endpoints; most: never
}

struct Item {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  present @3 :Bool;             # false for a removed item
  compressed @4 :Bool;          # true if the value is compressed with zlib
}

struct ItemSet {
  prefix @0 :Text;
  revision @1 :UInt64;
  items @2 :List(Item);
  partial @3 :Bool;             # true if only changes since the requested revision are included
  kept @4 :List(Text);          # keys of existing items that are left out, as the receiver has them
  era @5 :UInt32;               # era of the store to which all revisions belong, 0 for none
}

struct KnownRevision {
  prefix @0 :Text;
  revision @1 :UInt64;
  era @2 :UInt32;
}

# Request and reply of STREAM_STATE.
struct StreamQuery {
  fingerprint @0 :Data;
  requestId @1 :Text;
  incarnation @2 :UInt64;       # process of the host that has reported the stream
}

struct StreamState {
  served @0 :Bool;
  over @1 :Bool;                # true if no caller comes back for it
  lastEventId @2 :Data;         # the last event passed on, empty if not known
  sole @3 :Bool;                # true if the host knows for sure of no other one like it
}

struct KnownStream {
  hostId @0 :Text;
  incarnation @1 :UInt64;
  report @2 :CopyReport;
  ageMs @3 :UInt32;             # since the last report that the stream runs
}

struct DomainDigests {
  domain @0 :Text;
  digests @1 :Data;             # 8 bytes each
}

# Reply of STREAM_MEMORY; the request is the digest of a request, or empty for all streams.
struct StreamMemory {
  completeMs @0 :UInt32;        # for how long the host has heard of all streams
  streams @1 :List(KnownStream);
  begunElsewhere @2 :List(DomainDigests);
}

struct DirectoryRequest {
  known @0 :List(KnownRevision);
  acceptsKept @1 :Bool;         # false from hosts of versions that do not read ItemSet.kept
  acceptsCompressed @2 :Bool;   # false from hosts of versions that do not read Item.compressed
}

struct DirectoryState {
  sets @0 :List(ItemSet);
}
