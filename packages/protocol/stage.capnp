# Messages between the VMs of the serving path: stages sent to the VM that batches their pieces, and
# the records of the store for a VM that the store does not answer.
@0xe5a87d2b91c4f603;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinnianotch::wire");

struct SubmitStage {
  job @0 :UInt64;             # assigned by the sender, unique per connection
  attempt @1 :Text;
  service @2 :Text;
  stage @3 :UInt32;
  priority @4 :UInt32;
  pieces @5 :UInt32;
  resultBytes @6 :UInt64;
  key @7 :Text;
  inputs @8 :List(Text);
  goalLeftMs @9 :Int32;
  deadlineLeftMs @10 :Int32;
  preferredDomain @11 :Text;
  shard @12 :Text;
  account @13 :UInt64;        # account_key; 0: none
  isAboveShare @14 :Bool;
  refusedPieces @15 :UInt32;  # of the account and priority, by the sender since its last submission
}

struct QueueDelay {
  priority @0 :UInt32;
  expectedMs @1 :Int32;
  aboveShareMs @2 :Int32;     # if the account is above its share
}

struct AccountShare {
  account @0 :UInt64;
  priority @1 :UInt32;
  share @2 :Float32;          # from 0 to 1, of what the account asks for
}

struct StageDone {
  job @0 :UInt64;
  end @1 :UInt8;              # stage_end
  why @2 :UInt8;              # piece_failure
  expectedMs @3 :Int32;
  handles @4 :List(Text);
  delays @5 :List(QueueDelay); # of the queue now, by ascending priority
  lateDelayMs @6 :Int32;       # of a job that cannot meet its goal
  shares @7 :List(AccountShare); # of accounts that ask for more than their share
}

struct ReleaseResults {
  handles @0 :List(Text);
}

struct Record {
  name @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

struct StateQuery {
  table @0 :UInt8;            # state_table
  revision @1 :UInt64;        # known to the querying VM; an answer without records means nothing newer
  era @2 :UInt64;             # of the store, to which the revision belongs
  held @3 :Bool;              # asks for HeldRecords instead
  crashes @4 :Bool;           # asks for crash reports instead; `held` is set too, for VMs that do not know this field
  crashesSinceMs @5 :Int32;   # sent in this time; negative: all that are known
  crashDigest @6 :UInt64;     # of what the asking VM knows
}

struct StateAnswer {
  table @0 :UInt8;
  revision @1 :UInt64;
  loaded @2 :Bool;            # false if the answering VM has no copy of the table yet
  records @3 :List(Record);
  isSnapshot @4 :Bool;        # all records of the table, rather than the changes after `after`
  after @5 :UInt64;           # revision in the query
  regainedMsAgo @6 :Int32;    # since the store could be read again; negative if it was never lost
  era @7 :UInt64;             # of `revision`
  afterEra @8 :UInt64;        # of `after`
}

struct TableCopy {
  loaded @0 :Bool;
  inSync @1 :Bool;
  revision @2 :UInt64;
  digest @3 :UInt64;
  era @4 :UInt64;
  heldDigest @5 :UInt64;
  inSyncForMs @6 :Int32;      # without interruption
}

struct HeldRecord {
  record @0 :Record;
  restoredRevision @1 :UInt64;
  msLeft @2 :Int32;           # negative: until the store's row changes
}

struct HeldRecords {
  table @0 :UInt8;
  era @1 :UInt64;
  records @2 :List(HeldRecord);
}

struct StateNotice {
  copies @0 :List(TableCopy); # one for each state_table, in its order
}

struct EngineLifetime {
  id @0 :Text;
  startedAt @1 :Int64;
}

struct CrashReport {
  kind @0 :UInt8;             # crash_report_kind
  origin @1 :Text;
  sequence @2 :UInt64;
  engines @3 :List(EngineLifetime);
  domain @4 :Text;
  parts @5 :List(Text);
  progress @6 :UInt8;         # answer_progress
  answeringForMs @7 :Int32;
  probes @8 :UInt32;
  ageMs @9 :Int32;
  subject @10 :UInt8;         # crash_report_subject
  route @11 :Text;
  isKnown @12 :Bool;          # to all VMs but the receiver: not to be passed on
}

struct PaceSample {
  endpoint @0 :UInt64;        # endpoint_key
  kind @1 :UInt8;             # pace_sample_kind
  value @2 :Float32;
}

struct EndpointLimit {
  endpoint @0 :UInt64;        # endpoint_key
  perSecond @1 :Float64;      # negative: the endpoint names no limit any more
}

struct PaceReport {
  origin @0 :UInt64;
  sequence @1 :UInt32;
  samples @2 :List(PaceSample);
  limits @3 :List(EndpointLimit);
}

struct RolloutCounts {
  route @0 :Text;
  endpoint @1 :Text;          # empty for the old version
  isCandidate @2 :Bool;
  answers @3 :UInt32;
  failures @4 :UInt32;
  byDuration @5 :List(UInt32);
  domain @6 :Text;
}

struct RolloutShare {
  route @0 :Text;
  share @1 :Float64;
}

struct RolloutShares {
  usual @0 :Float64;          # of a route that is not listed
  routes @1 :List(RolloutShare);
  bound @2 :Float64;          # of the requests between order and deadline
}

struct RolloutReport {
  vm @0 :Text;
  lifetime @1 :UInt64;
  sequence @2 :UInt64;
  service @3 :Text;
  order @4 :UInt64;
  sent @5 :UInt64;
  candidateSent @6 :UInt64;
  oldInFlight @7 :UInt32;
  ageMs @8 :Int32;
  counts @9 :List(RolloutCounts);
  phase @10 :UInt8;           # rollout_phase
  oldUnrepeatable @11 :UInt32;
}

struct RolloutVerdict {
  service @0 :Text;
  order @1 :UInt64;
  phase @2 :UInt8;            # rollout_phase
  step @3 :UInt32;
  ageMs @4 :Int32;
  shares @5 :RolloutShares;
  oldVersion @6 :Text;        # that serves besides the new one; empty if not known
}

struct VmMessage {
  union {
    ping @0 :Void;
    pong @1 :Void;
    submit @2 :SubmitStage;
    done @3 :StageDone;
    cancel @4 :UInt64;
    release @5 :ReleaseResults;
    query @6 :StateQuery;
    answer @7 :StateAnswer;
    leaving @8 :Void;         # the sender is shutting down: send it no new work
    notice @9 :StateNotice;   # from a VM that reads the store
    returned @10 :UInt64;     # a submitted job that the sender has not begun and gives up: submit it elsewhere
    crash @11 :CrashReport;   # passed on to all VMs
    held @12 :HeldRecords;    # records that the store has lost
    paces @13 :List(PaceReport);  # passed on to all VMs
    rollout @14 :RolloutReport; # to the VMs that judge a roll-out, which answer with a verdict
    verdict @15 :RolloutVerdict;
  }
}
