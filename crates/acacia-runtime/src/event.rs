//! The numbers of logged events.
//!
//! `docs/EVENTS.md` says for each what it means and what an operator does; a test holds both lists equal.

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal;)+) => {
        $($(#[$doc])* pub const $name: &str = $code;)+

        /// All numbers with the names of their constants.
        pub const ALL: &[(&str, &str)] = &[$(($code, stringify!($name))),+];
    };
}

events! {
    /// A process listens and starts to work.
    STARTED = "E0101";
    /// A process was asked to stop and finishes what it has begun.
    STOPPING = "E0102";
    /// A process has finished all its work.
    STOPPED = "E0103";
    /// A process stops at once because it cannot go on.
    FATAL = "E0104";
    /// A connection failed in a way that concerns only that connection.
    CONNECTION_FAILED = "E0110";
    /// A message from another process was malformed and was dropped.
    MESSAGE_REFUSED = "E0111";

    /// An entry was granted an incarnation.
    ENTRY_JOINED = "E0201";
    /// An entry lost its connection to the control group.
    CONTROL_LOST = "E0202";
    /// An entry's serving lease has run out: it refuses requests.
    LEASE_LOST = "E0203";
    /// An entry holds a serving lease again.
    LEASE_HELD = "E0204";
    /// An entry took over a newer configuration.
    CONFIG_APPLIED = "E0205";
    /// An attempt at an endpoint failed.
    ATTEMPT_FAILED = "E0211";
    /// A stream went on at another connection or endpoint.
    STREAM_RESUMED = "E0212";
    /// An answer did not belong to the request it came for.
    ANSWER_CROSSED = "E0213";
    /// A usage report could not be delivered in time and is sent again.
    USAGE_DELAYED = "E0214";
    /// A stop began while work was still running and the time for finishing it has passed.
    STOP_OVERDUE = "E0215";
    /// Spans could not be written.
    SPANS_LOST = "E0216";
    /// A call was answered, or broke off.
    CALL_ENDED = "E0220";
    /// A call was refused before any endpoint could run it.
    CALL_REFUSED = "E0221";
    /// An entry's readiness changed.
    READINESS_CHANGED = "E0222";
    /// An entry took over a configuration for calls by host and path.
    SERVING_CONFIG_APPLIED = "E0223";
    /// A session with a replica was opened.
    CONTROL_FOUND = "E0224";
    /// A prompt was read, or could not be.
    PROMPT_READ = "E0225";
    /// The settings were read again.
    SETTINGS_RELOADED = "E0226";
    /// An entry was told that a newer configuration is committed.
    CONFIG_TOLD = "E0227";
    /// An entry has asked the leader while it knows of a newer configuration.
    CONFIG_ASKED = "E0228";
    /// An answer came after the entry had asked again.
    RENEWAL_LATE = "E0229";
    /// The caller left before an endpoint had answered.
    CALL_ABANDONED = "E0230";
    /// An endpoint is silent for longer than is usual.
    ENDPOINT_DOUBTED = "E0231";
    /// A call has waited for the first lease of its entry.
    CALL_HELD = "E0232";

    /// A replica became leader.
    LEADER_ELECTED = "E0301";
    /// A replica is no longer leader.
    LEADER_LOST = "E0302";
    /// A configuration change was accepted.
    CHANGE_ACCEPTED = "E0303";
    /// An operator's request was refused.
    OPERATOR_REFUSED = "E0304";
    /// The log ended in a torn record, which was cut off.
    TAIL_CUT = "E0305";
    /// A snapshot was written and the log before it was dropped.
    SNAPSHOT_WRITTEN = "E0306";
    /// A host waits for the group to admit its data folder.
    IDENTITY_AWAITED = "E0307";
    /// A host was given its place in the group.
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
    /// A replica was removed from the group and gives its folder up.
    IDENTITY_REVOKED = "E0314";
    /// The disk takes no more bytes, or takes them again.
    DISK_FULL = "E0315";
    /// An endpoint has reported something new.
    ENDPOINT_CHANGED = "E0320";
    /// A report of an endpoint could not be used.
    REPORT_REFUSED = "E0321";
    /// The configuration in force cannot be read by this release.
    CONFIG_UNREADABLE = "E0322";
    /// An entry or a replica has opened a session.
    SESSION_BEGUN = "E0323";
    /// A session has ended.
    SESSION_ENDED = "E0324";
    /// A configuration for calls by host and path was accepted.
    SERVING_CONFIG_ACCEPTED = "E0325";
    /// A configuration that is held already, or was overtaken, was acknowledged again.
    SERVING_CONFIG_OLD = "E0326";
    /// A configuration was refused.
    SERVING_CONFIG_REFUSED = "E0327";
    /// This process has taken all duties under a new number.
    DUTIES_ASSUMED = "E0328";
    /// This process has lost its duties.
    DUTIES_LEFT = "E0329";
    /// The counts of a usage window were fixed.
    STARTS_SEALED = "E0330";
    /// An engine is to change its stage.
    STAGE_PLANNED = "E0331";
    /// Endpoints were ordered of the platform.
    POOL_ORDERED = "E0332";
    /// What a service needs and has was compared.
    POOL_PLANNED = "E0333";
    /// An entry was answered with a configuration that it does not hold.
    CONFIG_SENT = "E0334";
    /// The connection to an entry has taken all of a configuration.
    CONFIG_WRITTEN = "E0335";

    /// A stand-in has carried out an order.
    STANDIN_ORDERED = "E0401";
}
