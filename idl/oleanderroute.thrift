// Messages between the hosts of one fleet. Field numbers are never reused.

namespace py oleander_messages

struct Header {
  1: required i16 protocol_version
  2: required string host_id
  3: required i64 incarnation
  4: required string failure_domain
  5: required string region
  6: required i64 revision
  7: required i64 host_list_version
  8: optional double uptime_s
  // Name of the fleet; messages of another fleet are dropped.
  9: required string fleet
  // Seconds since the platform confirmed the sender's host list.
  10: optional double host_list_age_s
}

// Attempts on one target in one report period, summed by kind.
struct AttemptSummary {
  1: required string target_id
  2: required i16 request_class
  3: required i16 kind
  4: required i32 count
  5: optional list<i32> latencies_us
  // Number of real attempts that each listed success represents.
  6: optional i32 weight
}

struct InFlight {
  1: required string target_id
  2: required i32 quick
  3: required i32 long_running
}

struct ServiceReport {
  1: required string service_name
  2: required list<AttemptSummary> attempts
  3: optional list<InFlight> in_flight
  4: required i64 verdict_version
}

struct OutcomeReport {
  1: required list<ServiceReport> services
}

struct TargetVerdict {
  1: required string target_id
  2: required i16 state
  3: required double weight
  4: required string reason
  5: optional i32 long_running
}

struct ServiceVerdicts {
  1: required string service_name
  2: required i64 verdict_version
  3: required list<TargetVerdict> targets
}

struct VerdictDelta {
  1: required list<ServiceVerdicts> services
}

struct ClaimRequest {
  1: required string key
  2: required string owner
  3: required string fingerprint
  4: required list<string> holders
}

struct ClaimReply {
  1: required i16 decision
  2: optional string owner
  3: optional i32 status
  4: optional binary body
  5: optional map<string, string> headers
  6: optional string reason
}

struct ClaimUpdate {
  1: required string key
  2: required string owner
  3: required i16 state
  4: optional i32 status
  5: optional binary body
  6: optional map<string, string> headers
  // Seconds since the claim was granted; set when claims are handed over.
  7: optional double age_s
  // Lets a holder without the claim record a completion as well.
  8: optional string fingerprint
}

struct ClaimHandover {
  1: required list<ClaimUpdate> claims
}

struct ManifestRequest {
  1: required i64 known_revision
}

struct ManifestReply {
  1: required i64 revision
  2: optional binary head
}

struct ChunkRequest {
  1: required list<string> digests
}

struct Chunk {
  1: required string digest
  2: required binary body
}

struct ChunkReply {
  1: required list<Chunk> chunks
}

struct SlotRequest {
  1: required string service_name
  2: required string lease_id
  // 0 acquire, 1 renew, 2 release
  3: required i16 action
  4: optional string target_id
  5: optional list<string> excluded
}

struct SlotReply {
  1: required i16 decision
  2: optional string target_id
  3: optional string reason
}

struct CrashNotice {
  1: required string service_name
  2: required string fingerprint
  // One target that crashed, or all of them once the fingerprint is refused. Empty if
  // a target has since served such a request.
  3: required list<string> target_ids
  // Milliseconds since the request was sent, and since its connection broke.
  4: optional i32 sent_ms
  5: optional i32 broke_ms
}

// A target whose answer said that it is draining.
struct DrainNotice {
  1: required string service_name
  2: required string target_id
  // Whether the sender forwards what another host observed.
  3: required bool is_announcement
}

struct StatusRequest {
  1: required string kind
}

struct StatusReply {
  1: required binary document
}

struct Ack {
}

struct HostListRequest {
  1: required i64 known_version
}

struct HostListReply {
  1: required i64 version
  // Version that the document builds on; 0 for a complete list.
  2: optional i64 base_version
  // Compressed JSON; absent if the requester's version is not older.
  3: optional binary document
}

union RequestBody {
  1: OutcomeReport outcome_report
  2: ClaimRequest claim_request
  3: ClaimUpdate claim_update
  4: ClaimHandover claim_handover
  5: ManifestRequest manifest_request
  6: ChunkRequest chunk_request
  7: SlotRequest slot_request
  8: CrashNotice crash_notice
  9: StatusRequest status_request
  10: HostListRequest host_list_request
  11: DrainNotice drain_notice
}

union ReplyBody {
  1: VerdictDelta verdict_delta
  2: ClaimReply claim_reply
  3: Ack ack
  4: ManifestReply manifest_reply
  5: ChunkReply chunk_reply
  6: SlotReply slot_reply
  7: StatusReply status_reply
  8: HostListReply host_list_reply
}

struct PeerRequest {
  1: required i64 request_id
  2: required Header header
  3: required RequestBody body
}

struct PeerReply {
  1: required i64 request_id
  2: required Header header
  3: required ReplyBody body
}
