@0xbf5147cbbecf40c1;

struct Node {
  node @0 :Text; vm @1 :Text; host @2 :Text; port @3 :UInt16; added @4 :Bool;
}
struct Entry { index @0 :UInt64; term @1 :UInt64; at @2 :UInt64; command @3 :Data; }
struct Noop {}
struct ChangeVoters { voters @0 :List(Node); learners @1 :List(Node); }
struct SubmitText { submission @0 :Text; base @1 :UInt64; text @2 :Data; }
struct SubmitAnswer { submission @0 :Text; verdict @1 :Text; version @2 :UInt64; }
struct ClaimKey {
  key @0 :Text; scope @1 :Text; digest @2 :Text; attempt @3 :Text; member @4 :Text;
  issued @5 :UInt64;
}
struct RecordedAnswer { status @0 :UInt16; contentType @1 :Text; body @2 :Data; }
struct ClaimAnswer { key @0 :Text; verdict @1 :Text; answer @2 :RecordedAnswer; }
struct RecordOutcome {
  key @0 :Text; scope @1 :Text; attempt @2 :Text; answer @3 :RecordedAnswer;
}
struct SealNotRun {
  key @0 :Text; scope @1 :Text; digest @2 :Text; attempt @3 :Text; issued @4 :UInt64;
}
struct ClaimClosed { key @0 :Text; done @1 :Bool; }
struct Refused { reason @0 :Text; detail @1 :Text; }

struct VoteRequest {
  preVote @0 :Bool; term @1 :UInt64; candidate @2 :Text; lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
}
struct VoteAnswer { preVote @0 :Bool; term @1 :UInt64; voter @2 :Text; granted @3 :Bool; }
struct AppendRequest {
  term @0 :UInt64; leader @1 :Text; previousIndex @2 :UInt64; previousTerm @3 :UInt64;
  entries @4 :List(Entry); commit @5 :UInt64; sent @6 :UInt64; silent @7 :List(SilentVoter);
  confirmed @8 :UInt64;
}
struct SilentVoter { node @0 :Text; silence @1 :UInt64; }
struct AppendAnswer {
  term @0 :UInt64; follower @1 :Text; matched @2 :Bool; index @3 :UInt64; sent @4 :UInt64;
}
struct SnapshotRequest {
  term @0 :UInt64; leader @1 :Text; index @2 :UInt64; indexTerm @3 :UInt64;
  voters @4 :List(Node); learners @5 :List(Node); state @6 :Data; sent @7 :UInt64;
}
struct JoinRequest { joiner @0 :Node; forwarded @1 :Bool; }
struct JoinAnswer { nodes @0 :List(Node); }
struct DiskBatch {
  term @0 :UInt64; votedFor @1 :Text; cutFrom @2 :UInt64; entries @3 :List(Entry);
  commit @4 :UInt64;
}
struct DiskSnapshot {
  index @0 :UInt64; indexTerm @1 :UInt64; voters @2 :List(Node);
  learners @3 :List(Node); state @4 :Data;
}

struct RankPort { rank @0 :Text; port @1 :UInt16; }
struct Member {
  member @0 :Text; vm @1 :Text; region @2 :Text; zone @3 :Text; host @4 :Text;
  ports @5 :List(RankPort); state @6 :Text;
}
struct Announcement {
  endpoint @0 :Text; service @1 :Text; region @2 :Text; zone @3 :Text; slots @4 :UInt32;
  state @5 :Text; lease @6 :UInt32;
}
struct Demand { service @0 :Text; slots @1 :Float64; }
struct Share { resource @0 :Text; amount @1 :UInt32; }
struct Heartbeat {
  member @0 :Member; textVersion @1 :UInt64; directoryVersion @2 :UInt64;
  grantSeen @3 :UInt64; held @4 :List(Share); demands @5 :List(Demand);
  announcements @6 :List(Announcement);
}
struct HeartbeatAnswer {
  textVersion @0 :UInt64; directoryVersion @1 :UInt64; directorySent @2 :Bool;
  grant @3 :UInt64; lease @4 :UInt32; shares @5 :List(Share); members @6 :List(Member);
  endpoints @7 :List(Announcement);
}
struct FetchText {}
struct TextAnswer { version @0 :UInt64; text @1 :Data; }

struct PutRouting { version @0 :UInt64; routing @1 :Data; source @2 :Data; }
struct RoutingAnswer { verdict @0 :Text; version @1 :UInt64; }
struct SetEvacuation { zone @0 :Text; evacuated @1 :Bool; }
struct EvacuationAnswer { index @0 :UInt64; }

struct Instance {
  instance @0 :Text; endpoint @1 :Text; service @2 :Text; region @3 :Text; zone @4 :Text;
  slots @5 :UInt32; state @6 :Text; sequence @7 :UInt64; born @8 :UInt64; cold @9 :UInt32;
}
struct Gateway {
  gateway @0 :Text; vm @1 :Text; region @2 :Text; zone @3 :Text; address @4 :Text;
  state @5 :Text;
}
struct SyncRequest {
  gateway @0 :Gateway; source @1 :Text; revision @2 :UInt64; routingVersion @3 :UInt64;
  evacuationIndex @4 :UInt64; wantsChanges @5 :Bool; digest @6 :UInt32;
  wantsRouting @7 :Bool; controlIndex @8 :UInt64; sentAt @9 :Float64;
  requestsPerS @10 :UInt32; limitsRevision @11 :UInt64;
  rateLimits @12 :List(RateLimit);
}
struct RateLimit {
  instance @0 :Text; born @1 :UInt64; perS @2 :Float64; age @3 :UInt32;
}
struct RateShare { instance @0 :Text; born @1 :UInt64; share @2 :Float64; }
struct SyncAnswer {
  source @0 :Text; revision @1 :UInt64; complete @2 :Bool; instances @3 :List(Instance);
  gone @4 :List(Text); routingVersion @5 :UInt64; routing @6 :Data;
  evacuationIndex @7 :UInt64; evacuated @8 :List(Text); control @9 :List(Node);
  gateways @10 :UInt32; ready @11 :Bool; controlIndex @12 :UInt64;
  absentAreGone @13 :Bool; leaseStart @14 :Float64; rateShares @15 :List(RateShare);
  limitsRevision @16 :UInt64; rateLimits @17 :List(RateLimit); mayBeBehind @18 :Bool;
  sentAt @19 :Float64; witness @20 :LogWitness; voters @21 :List(Text); leader @22 :Text;
  region @23 :Text; plans @24 :Bool; acceptsShort @25 :Bool;
}
struct LogWitness { node @0 :Text; routingVersion @1 :UInt64; membersIndex @2 :UInt64; }
struct InstanceChanged { instance @0 :Instance; gone @1 :Bool; }
struct InstanceSeen { gateway @0 :Text; instance @1 :Text; sequence @2 :UInt64; }
struct RoutingChanged { routingVersion @0 :UInt64; evacuationIndex @1 :UInt64; }
struct Heard { instance @0 :Instance; gone @1 :Bool; }
struct RepeatedHeartbeat { instance @0 :Text; born @1 :UInt64; sequence @2 :UInt64; }
struct Departure { instance @0 :Instance; gone @1 :Bool; }
struct RecordDepartures { departures @0 :List(Departure); forwarded @1 :Bool; }
struct Gossip {
  sender @0 :Text; heard @1 :List(Heard); run @2 :Text; repeated @3 :List(RepeatedHeartbeat);
  rateLimits @4 :List(RateLimit);
}
struct QuotaRequest {
  gateway @0 :Text; vm @1 :Text; sentAt @2 :Float64; grantSeen @3 :UInt64;
  organisations @4 :List(UInt64); demand @5 :List(UInt32); held @6 :List(UInt32);
  stores @7 :List(UInt32); tokens @8 :List(UInt32); returned @9 :List(UInt32);
  waiting @10 :List(UInt16);
}
struct QuotaAnswer {
  sentAt @0 :Float64; leads @1 :Bool; grant @2 :UInt64; organisations @3 :List(UInt64);
  rates @4 :List(UInt32); stores @5 :List(UInt32); tokens @6 :List(UInt32);
  waitMs @7 :List(UInt16);
}
struct ServiceDemand {
  service @0 :Text; objects @1 :List(UInt64); counts @2 :List(UInt16); warmMs @3 :UInt32;
}
struct DemandReport {
  vm @0 :Text; region @1 :Text; plan @2 :UInt64; demand @3 :List(ServiceDemand);
}
struct RegionDemand { service @0 :Text; region @1 :Text; percent @2 :UInt8; }
struct PlacementUpdate {
  plan @0 :UInt64; since @1 :UInt64; complete @2 :Bool; services @3 :List(Text);
  servers @4 :List(Text); serviceOf @5 :List(UInt16); objects @6 :List(UInt64);
  listed @7 :List(UInt8); owners @8 :List(UInt16); shares @9 :List(UInt8);
  regions @10 :List(RegionDemand); wanted @11 :Bool;
  covered @12 :List(Text); coverageSent @13 :Bool;
}
struct GatewayAlive { gateway @0 :Text; sentAt @1 :Float64; requestsPerS @2 :UInt32; }
struct AliveAnswer {
  sentAt @0 :Float64; known @1 :Bool; routingVersion @2 :UInt64; evacuationIndex @3 :UInt64;
  controlIndex @4 :UInt64; gateways @5 :UInt32; ready @6 :Bool; mayBeBehind @7 :Bool;
  witness @8 :LogWitness; leader @9 :Text;
}

struct Envelope {
  correlation @0 :UInt64;
  union {
    noop @1 :Noop;
    changeVoters @2 :ChangeVoters;
    submitText @3 :SubmitText;
    submitAnswer @4 :SubmitAnswer;
    claimKey @5 :ClaimKey;
    claimAnswer @6 :ClaimAnswer;
    recordOutcome @7 :RecordOutcome;
    sealNotRun @8 :SealNotRun;
    claimClosed @9 :ClaimClosed;
    refused @10 :Refused;
    voteRequest @11 :VoteRequest;
    voteAnswer @12 :VoteAnswer;
    appendRequest @13 :AppendRequest;
    appendAnswer @14 :AppendAnswer;
    snapshotRequest @15 :SnapshotRequest;
    joinRequest @16 :JoinRequest;
    diskBatch @17 :DiskBatch;
    diskSnapshot @18 :DiskSnapshot;
    heartbeat @19 :Heartbeat;
    heartbeatAnswer @20 :HeartbeatAnswer;
    fetchText @21 :FetchText;
    textAnswer @22 :TextAnswer;
    putRouting @23 :PutRouting;
    routingAnswer @24 :RoutingAnswer;
    setEvacuation @25 :SetEvacuation;
    evacuationAnswer @26 :EvacuationAnswer;
    syncRequest @27 :SyncRequest;
    syncAnswer @28 :SyncAnswer;
    instanceChanged @29 :InstanceChanged;
    instanceSeen @30 :InstanceSeen;
    routingChanged @31 :RoutingChanged;
    gossip @32 :Gossip;
    joinAnswer @33 :JoinAnswer;
    recordDepartures @34 :RecordDepartures;
    quotaRequest @35 :QuotaRequest;
    quotaAnswer @36 :QuotaAnswer;
    demandReport @37 :DemandReport;
    placementUpdate @38 :PlacementUpdate;
    gatewayAlive @39 :GatewayAlive;
    aliveAnswer @40 :AliveAnswer;
  }
}
