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

// One finding about a target, from one host's own requests.
struct Observation {
  1: required string target_id
  2: required i16 kind
  // Milliseconds since the request was sent.
  3: required i32 age_ms
  4: optional i32 latency_ms
  // Requests that run and wait at the target, and its slots.
  5: optional i16 in_system
  6: optional i16 slots
  // Number of the send at the observing host; matches its start with its end.
  7: required i32 send_number
  // The observing host, if it is not the sender of the datagram.
  8: optional string host_id
  // At the start of a send: the process of the observing host, drawn at its start, and
  // how many first sends, or resends, to the service it has begun.
  9: optional i16 incarnation
  10: optional i32 count
  // Of a target that is leaving: the start of its process, in Unix milliseconds.
  11: optional i64 target_started_ms
}

// A key of the platform's store; a removed key has no value.
struct ItemChange {
  1: required string key
  2: required i64 revision
  3: optional binary value
}

// A new value of a key, as its compressed difference to an older value of that key.
struct ItemPatch {
  1: required string key
  2: required i64 revision
  // Revision of the older value; 0 if the value is only compressed.
  3: required i64 base_revision
  4: required binary patch
}

// Datagram between hosts. Members send theirs to the hub of their failure domain,
// which forwards them in batches.
struct Gossip {
  1: required string host_id
  2: required string failure_domain
  // Whether the receiver is to forward it as a hub.
  3: required bool to_hub
  // Revision of the store up to which the sender has followed all changes.
  4: required i64 revision
  // Milliseconds since the store confirmed this revision to any host.
  5: optional i32 confirmed_ms
  6: optional list<Observation> observations
  7: optional list<CrashNotice> crashes
  // Revision after which the changes start, up to revision; both are set if they fit.
  8: optional i64 changes_after
  9: optional list<ItemChange> changes
  // Hosts from which the sender, a hub, has recently received a datagram.
  10: optional list<string> heard
  // Whether the sender's calls to the store fail.
  11: optional bool store_lost
  // The host that the sender, a hub, appoints to watch the store.
  12: optional string watcher
  // Large values among the changes after changes_after.
  13: optional list<ItemPatch> patches
}

struct CopyRequest {
  1: required string host_id
  2: required i64 after_revision
  // Revisions of the large values that the requester has; without it, the reply holds
  // no patches and is not packed.
  3: optional map<string, i64> bases
}

struct CopyReply {
  1: required i64 revision
  // Whether items holds all keys rather than only the changed ones.
  2: required bool is_complete
  3: required list<ItemChange> items
  4: optional list<ItemPatch> patches
  // The compressed encoding of a CopyReply that replaces items and patches.
  5: optional binary packed
}
