# RPC between the entry VMs.
@0xd4b1c9f0a3e85d17;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinnianotch::wire");

enum VmState {
  starting @0;
  serving @1;
  draining @2;
}

struct EndpointSummary {
  id @0 :Text;
  domain @1 :Text;
  phase @2 :UInt8;     # endpoint_phase
  inFlight @3 :UInt32;
  limit @4 :UInt32;
}

struct Heartbeat {
  vm @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  address @3 :Text;
  state @4 :VmState;
  configVersion @5 :UInt64;
  viewVersion @6 :UInt64;      # version of its failure domain's view that the sender adopted
  endpoints @7 :List(EndpointSummary);
}

struct StageCall {
  request @0 :Text;
  attempt @1 :Text;
  account @2 :Text;
  priority @3 :UInt32;
  pipeline @4 :Text;
  stage @5 :Text;
  pool @6 :Text;
  endpoint @7 :Text;
  streaming @8 :Bool;
  maxTokens @9 :UInt32;
  resumeFrom @10 :UInt32;
  deadlineMs @11 :UInt32;      # time left when the call was sent
  configVersion @12 :UInt64;
  input @13 :Text;
}

# Outcome of a stage attempt: the output, or a failure with its verdict and reason.
struct StageResult {
  attempt @0 :Text;
  output @1 :Text;
  tokens @2 :UInt32;
  failed @3 :Bool;
  verdict @4 :UInt8;           # verdict
  reason @5 :UInt8;            # reason
  detail @6 :Text;
  status @7 :UInt32;           # HTTP status of a plain service's answer
}

interface TokenSink {
  # Tokens of a generation stage, in order; `first` is the index of the first token in `items`.
  tokens @0 (first :UInt32, items :List(Text)) -> ();
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (reply :Heartbeat);
  runStage @1 (call :StageCall, sink :TokenSink) -> (result :StageResult);
  fetchConfig @2 () -> (version :UInt64, document :Text);
}
