// The protocol between entry hosts. Fields are only ever added.
namespace py peer

struct Heartbeat {
  1: required i32 protocol
  2: required string seat
  3: required string host_id
  4: required string zone
  5: required i64 config_offset
  6: required string config_digest
  7: required bool stopping
  // Endpoints of the sender's zone it has seen leave or fail.
  8: optional list<string> leaving_endpoints
  // Offset and digest of the sender's zone stream; -1 when it follows none.
  9: optional i64 zone_offset
  10: optional string zone_digest
  // Slots free for other zones' requests, by service.
  11: optional map<string, i32> spare_slots
  // True in the last message of a process that has ended all its requests.
  12: optional bool drained
}

struct HeartbeatReply {
  1: required i32 protocol
  2: required string host_id
  3: required i64 config_offset
  4: required string config_digest
  5: required bool stopping
  6: optional list<string> leaving_endpoints
  7: optional i64 zone_offset
  8: optional string zone_digest
  9: optional map<string, i32> spare_slots
  // What the answering host knows of the caller's seat: the last other
  // process in it, and whether that one ended all its requests.
  10: optional string predecessor_host_id
  11: optional bool predecessor_drained
}

struct StreamEntry {
  1: required i64 offset
  2: required binary payload
}

// Records of a stream after `after_offset`, or a snapshot when those are gone.
struct CatchUpRequest {
  1: required string stream
  2: required i64 after_offset
}

struct CatchUpReply {
  1: required i64 snapshot_offset
  2: required binary snapshot
  3: required list<StreamEntry> entries
  4: required i64 offset
  5: required string digest
}

// Capacity of one endpoint asked of, or given back to, another seat.
struct LoanRequest {
  1: required string borrower_seat
  2: required string borrower_host_id
  3: required string endpoint
  4: required i32 slots
  5: required i64 loan_id
  6: required i32 duration_ms
}

struct LoanReply {
  1: required i32 slots
  2: required i32 duration_ms
  3: required i64 loan_id
}

struct LoanReturn {
  1: required string borrower_host_id
  2: required string endpoint
  3: required i64 loan_id
  4: required i32 slots
}

// A caller's request handed to a host of the zone that has the endpoints.
struct ForwardRequest {
  1: required string request_id
  2: required string caller
  3: required string service_name
  4: required string path
  5: required string method
  6: required map<string, string> headers
  7: required binary body
  8: required i32 remaining_ms
  9: required bool idempotent
}

struct ForwardReply {
  1: required string request_id
  // One of answered, not-run, unknown.
  2: required string outcome
  3: required string reason
  4: required i32 status
  5: required map<string, string> headers
  6: required binary body
  7: required i32 retry_after_ms
}

// Dispatch marks of non-idempotent request ids.
enum MarkVerdict {
  FRESH = 1
  SEEN = 2
  TOO_OLD = 3
}

struct MarkRequest {
  1: required string request_id
  2: required string host_id
  3: required i32 keep_ms
  // True from a home host to the second holder of the mark.
  4: required bool copy
}

struct MarkReply {
  1: required MarkVerdict verdict
  2: required string holder_host_id
}

exception PeerRefused {
  1: required string reason
  2: required string detail
}

service Peer {
  HeartbeatReply heartbeat(1: Heartbeat beat) throws (1: PeerRefused refused)
  CatchUpReply catch_up(1: CatchUpRequest request) throws (1: PeerRefused refused)
  // New records of the configuration stream, pushed as soon as they are read.
  void push(1: string stream, 2: list<StreamEntry> entries) throws (1: PeerRefused refused)
  LoanReply borrow(1: LoanRequest request) throws (1: PeerRefused refused)
  void give_back(1: LoanReturn loan) throws (1: PeerRefused refused)
  ForwardReply forward(1: ForwardRequest request) throws (1: PeerRefused refused)
  MarkReply mark(1: MarkRequest request) throws (1: PeerRefused refused)
  // A JSON page of what this host knows of one subject, for `explain`.
  binary explain(1: string subject, 2: string name) throws (1: PeerRefused refused)
}
