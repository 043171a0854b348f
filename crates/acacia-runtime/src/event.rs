//! Event numbers of log lines.
//!
//! `docs/EVENTS.md` describes each event and the action that an operator takes. A test checks that both lists contain
//! the same numbers.

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal;)+) => {
        $($(#[$doc])* pub const $name: &str = $code;)+

        /// All event numbers, each with the name of its constant.
        pub const ALL: &[(&str, &str)] = &[$(($code, stringify!($name))),+];
    };
}

events! {
    /// A process has started and is listening.
    STARTED = "E0101";
    /// A process was asked to stop and finishes the work in progress.
    STOPPING = "E0102";
    /// A process has finished all its work.
    STOPPED = "E0103";
    /// A process stops immediately because of an error that it cannot recover from.
    FATAL = "E0104";
    /// A connection failed, with no effect on other connections.
    CONNECTION_FAILED = "E0110";
    /// A message from another process was malformed and was dropped.
    MESSAGE_REFUSED = "E0111";
    /// Request bodies were refused because the memory for them is used up.
    INTAKE_FULL = "E0112";

    /// An entry was granted an incarnation.
    ENTRY_JOINED = "E0201";
    /// An entry lost its connection to the control group.
    CONTROL_LOST = "E0202";
    /// An entry's serving lease has expired, so it refuses requests.
    LEASE_LOST = "E0203";
    /// An entry holds a serving lease again.
    LEASE_HELD = "E0204";
    /// An entry applied a newer configuration.
    CONFIG_APPLIED = "E0205";
    /// An attempt at an endpoint failed.
    ATTEMPT_FAILED = "E0211";
    /// A stream was resumed on another connection or endpoint.
    STREAM_RESUMED = "E0212";
    /// An answer belonged to a different request than the one it was received for.
    ANSWER_CROSSED = "E0213";
    /// A usage report could not be delivered in time and is sent again.
    USAGE_DELAYED = "E0214";
    /// The time limit for finishing work during a stop has passed while work was still running.
    STOP_OVERDUE = "E0215";
    /// Spans could not be written.
    SPANS_LOST = "E0216";
    /// A call was answered, or broke off.
    CALL_ENDED = "E0220";
    /// A call was refused before any endpoint could run it.
    CALL_REFUSED = "E0221";
    /// An entry's readiness changed.
    READINESS_CHANGED = "E0222";
    /// An entry applied a configuration for calls that are routed by host and path.
    SERVING_CONFIG_APPLIED = "E0223";
    /// A session with a replica was opened.
    CONTROL_FOUND = "E0224";
    /// A prompt was read, or could not be.
    PROMPT_READ = "E0225";
    /// A reload of the settings has succeeded or failed.
    SETTINGS_RELOADED = "E0226";
    /// An entry was notified that a newer configuration is committed.
    CONFIG_TOLD = "E0227";
    /// An entry sent a renewal request to the leader while it knew of a newer configuration than it holds.
    CONFIG_ASKED = "E0228";
    /// An answer came after the entry had asked again.
    RENEWAL_LATE = "E0229";
    /// The caller disconnected before an endpoint had answered.
    CALL_ABANDONED = "E0230";
    /// An endpoint has not answered for longer than usual.
    ENDPOINT_DOUBTED = "E0231";
    /// A call was held until its entry's first lease, or until its time limit.
    CALL_HELD = "E0232";
    /// It was examined whether an endpoint ended with the connection of an attempt.
    BREAK_EXAMINED = "E0233";
    /// An entry holds a call back that ends endpoints.
    CALL_HELD_BACK = "E0234";
    /// Evidence against calls was dropped, because too much of it waits for a leader.
    EVIDENCE_DROPPED = "E0235";
    /// A call was refused because its customer's allowance is used up.
    ALLOWANCE_USED_UP = "E0236";
    /// An endpoint named a rate limit, changed it, or no longer names it.
    LIMIT_NAMED = "E0237";
    /// A call was refused because all endpoints of its service have reached their limits.
    LIMITS_REACHED = "E0238";
    /// A call was sent to another endpoint than the best one because of a limit.
    LIMIT_DETOUR = "E0239";
    /// An entry is cut off from all endpoints while others reach them.
    PATHS_CUT = "E0240";
    /// An entry that was cut off reaches an endpoint again.
    PATHS_RESTORED = "E0241";
    /// An entry does not reach an endpoint that another entry reaches.
    PATH_LOST = "E0242";
    /// A connection to an endpoint was opened over another entry.
    RELAY_USED = "E0243";
    /// Another entry took no connection to an endpoint.
    RELAY_UNAVAILABLE = "E0244";
    /// An entry has answered another one's request for a connection to an endpoint.
    RELAY_OPENED = "E0245";
    /// A relayed connection has ended.
    RELAY_ENDED = "E0246";
    /// A connection for relays was closed, because it does not come from an entry.
    RELAY_REFUSED = "E0247";
    /// An attempt was answered over a relay.
    ATTEMPT_RELAYED = "E0248";
    /// An endpoint has started again, at another version of its software, under a stream.
    VERSION_CHANGED = "E0249";
    /// The version that has begun a stream was searched, because its caller takes it up.
    ORIGIN_SEARCHED = "E0250";
    /// An endpoint that was to go on with a stream has started again, or has not said that it has not.
    INCARNATION_UNCONFIRMED = "E0251";
    /// A retry of a call was admitted or refused by the limit on the retries of its service.
    RETRY_DECIDED = "E0252";
    /// The engine of a call was silent, and it was decided whether another one takes the call over.
    SILENCE_JUDGED = "E0253";
    /// An entry holds calls back whose prompts have parts that end endpoints.
    PARTS_HELD_BACK = "E0254";
    /// The load that an endpoint states in its answers cannot be read and is ignored.
    LOAD_UNREADABLE = "E0255";
    /// The expected prefill time of a service was fitted, or has changed.
    PREFILL_MODELLED = "E0256";
    /// The leader has assigned this entry another slice of a service's endpoints.
    SLICE_CHANGED = "E0257";
    /// A call has waited at this entry until engines could prefill its prompt.
    PROMPT_QUEUED = "E0258";
    /// A call was refused because engines cannot prefill its prompt in time, or too many calls wait.
    PROMPT_REFUSED = "E0259";
    /// An answer was dropped because its caller did not read it.
    ANSWER_DROPPED = "E0260";
    /// Calls were refused because the memory for request bodies and answers is used up.
    BODY_ROOM_FULL = "E0261";
    /// An answer asked for rest, or said that its endpoint leaves.
    REST_ASKED = "E0262";
    /// A refused connection is not taken for the end of the endpoint.
    PORT_DOUBTED = "E0263";

    /// A replica became leader.
    LEADER_ELECTED = "E0301";
    /// A replica is no longer leader.
    LEADER_LOST = "E0302";
    /// A configuration change was accepted.
    CHANGE_ACCEPTED = "E0303";
    /// An operator's request was refused.
    OPERATOR_REFUSED = "E0304";
    /// The replicated log ended in a torn record, which was truncated.
    TAIL_CUT = "E0305";
    /// A snapshot was written and the log before it was dropped.
    SNAPSHOT_WRITTEN = "E0306";
    /// A host waits until the control group admits its data folder.
    IDENTITY_AWAITED = "E0307";
    /// A host was granted its replica identity in the control group.
    IDENTITY_GRANTED = "E0308";
    /// The set of replicas changed.
    MEMBERS_CHANGED = "E0309";
    /// An order was sent to an endpoint.
    ORDER_SENT = "E0310";
    /// An order was not carried out and is kept as unsettled.
    ORDER_UNSETTLED = "E0311";
    /// A usage window was acknowledged by the platform.
    WINDOW_BILLED = "E0312";
    /// A usage window could not be delivered and is sent again.
    WINDOW_DELAYED = "E0313";
    /// A replica was removed from the control group and discards its identity.
    IDENTITY_REVOKED = "E0314";
    /// The disk is full, or has free space again.
    DISK_FULL = "E0315";
    /// An endpoint has reported something new.
    ENDPOINT_CHANGED = "E0320";
    /// An endpoint's report was malformed.
    REPORT_REFUSED = "E0321";
    /// The configuration in force cannot be parsed by this release.
    CONFIG_UNREADABLE = "E0322";
    /// An entry or a replica has opened a session.
    SESSION_BEGUN = "E0323";
    /// A session has ended.
    SESSION_ENDED = "E0324";
    /// A configuration for calls that are routed by host and path was accepted.
    SERVING_CONFIG_ACCEPTED = "E0325";
    /// A configuration that is not newer than the held one was acknowledged without effect.
    SERVING_CONFIG_OLD = "E0326";
    /// A configuration was refused.
    SERVING_CONFIG_REFUSED = "E0327";
    /// This process has assumed all duties under a new fencing number.
    DUTIES_ASSUMED = "E0328";
    /// This process no longer leads and has given up its duties.
    DUTIES_LEFT = "E0329";
    /// The counts of a usage window were sealed and no longer change.
    STARTS_SEALED = "E0330";
    /// A change of an engine's stage was planned.
    STAGE_PLANNED = "E0331";
    /// An order for the number of endpoints in a pool was sent to the platform.
    POOL_ORDERED = "E0332";
    /// The required endpoints of a service were compared with the existing ones.
    POOL_PLANNED = "E0333";
    /// An entry was sent a configuration that it does not hold.
    CONFIG_SENT = "E0334";
    /// A configuration was written completely to the connection to an entry.
    CONFIG_WRITTEN = "E0335";
    /// A call was quarantined, since endpoints end under it.
    CALL_QUARANTINED = "E0336";
    /// A quarantine was lifted, expired, or refuted by a whole answer.
    QUARANTINE_ENDED = "E0337";
    /// Evidence against calls was received from an entry.
    EVIDENCE_RECEIVED = "E0338";
    /// Evidence against calls was committed.
    EVIDENCE_COMMITTED = "E0339";
    /// The rate limit of an endpoint was recorded, changed, or ended.
    LIMIT_RECORDED = "E0340";
    /// An entry was told of limits, and granted permits.
    PERMITS_GRANTED = "E0341";
    /// Entries have told several versions for one stream.
    ORIGIN_CONFLICT = "E0342";
    /// An entry was granted retries from the slack of a service's limit.
    RETRIES_GRANTED = "E0343";
    /// Parts of prompts were quarantined, since endpoints end under them.
    PARTS_QUARANTINED = "E0344";
    /// A quarantine of parts was lifted, narrowed, expired, or refuted by a whole answer.
    PART_QUARANTINE_ENDED = "E0345";
    /// The speed of an endpoint has changed, or a service has its first endpoint that states one.
    ENDPOINT_SPEED = "E0346";
    /// The endpoints of a service with uneven load were divided anew among the entries.
    SLICES_DIVIDED = "E0347";
    /// The required capacity of an uneven service was proposed for the replicated state.
    NEED_RECORDED = "E0348";
    /// A new duty holder has read the required capacity that an earlier one recorded.
    NEED_RESTORED = "E0349";
    /// The configuration in force has a contradiction, for which a new one would be refused.
    SERVING_CONFIG_CONTRADICTED = "E0350";
    /// A report names a service that the configuration does not name, and was kept aside.
    REPORT_UNNAMED = "E0351";
    /// An entry has reported that prompts with suspect parts were answered whole.
    SOUND_PARTS_RECEIVED = "E0352";
    /// Evidence came after the ending was explained.
    EVIDENCE_LATE = "E0353";

    /// A stand-in has carried out an order.
    STANDIN_ORDERED = "E0401";
}
