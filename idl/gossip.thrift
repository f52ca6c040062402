// Messages between the hosts of the users' platform. A module of their own, since the
// generated classes take time at each start of a process.

namespace py oleander_gossip

// News of a request that ended a target.
struct CrashNotice {
  1: required string service_name
  2: required string fingerprint
  // One target that crashed, or all of them once the fingerprint is refused. Empty if
  // a target has since served such a request.
  3: required list<string> target_ids
  // Milliseconds since the request was sent, and since its connection broke or its
  // answer was overdue.
  4: optional i32 sent_ms
  5: optional i32 broke_ms
  // Whether the target only fell silent; absent if its port refuses connections.
  6: optional bool is_silent
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
  // At the first send of a request: the workspace of its API key, and how many requests
  // of that workspace the process has sent.
  12: optional string workspace
  13: optional i32 workspace_count
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
  // Revision of the store up to which the sender has followed all changes, in the history
  // that era names.
  4: required i64 revision
  // Milliseconds since the store confirmed this revision to any host.
  5: optional i32 confirmed_ms
  6: optional list<Observation> observations
  7: optional list<CrashNotice> crashes
  // Set if changes and patches hold all that changed after it, up to revision. What a
  // receiver may conclude from a message stands in decisions/replica.py.
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
  // Of the sender's replica at revision; hosts at one revision have the same.
  14: optional i64 digest
  // From a hub, for the rate limits of workspaces: the failure domains whose
  // announcements reach it, and the hosts in them that it does not hear.
  15: optional list<string> reached
  16: optional list<string> silent
  // The history of all revisions in this message; absent if the store names none.
  17: optional i64 era
  // Digest of the states that the sender keeps against the copy from which the store
  // came back; absent for none.
  18: optional i64 kept
}

// The newest state of a key in an earlier history of the store.
struct KeptItem {
  1: required string key
  2: required i64 era
  // Of the last write or, if the key is gone, of its removal.
  3: required i64 revision
  4: required binary value
  5: required bool is_gone
}

struct CopyRequest {
  1: required string host_id
  2: required i64 after_revision
  // Revisions of the large values that the requester has; without it, the reply holds
  // no patches and is not packed.
  3: optional map<string, i64> bases
  // The history of all revisions in this message; absent if the store names none.
  4: optional i64 era
}

struct CopyReply {
  1: required i64 revision
  // Whether items and patches hold all keys, rather than the changes after the
  // revision that was asked for.
  2: required bool is_complete
  3: required list<ItemChange> items
  4: optional list<ItemPatch> patches
  // The compressed encoding of a CopyReply that replaces items and patches.
  5: optional binary packed
  // The history of all revisions in this message; absent if the store names none.
  6: optional i64 era
  // What the sender keeps against the copy from which the store came back, and the lowest
  // listing of this history that it knows.
  7: optional list<KeptItem> kept
  8: optional i64 listed_at
}
