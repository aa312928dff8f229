@0xd5a1c0f3be27a941;
# wire.capnp -- Messages between entry instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

# First message of a handshake, which identifies the sender.
struct Hello {
  version @0 :UInt16;
  name @1 :Text;
  incarnation @2 :Text;
  datacentre @3 :Text;
  web @4 :Text;
  peer @5 :Text;
  nonce @6 :Data;
  cores @7 :Float32;
  since @8 :UInt64;
  messageSet @9 :UInt16;
}

struct Heartbeat {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  leaving @2 :Bool;
  leavingServers @3 :List(Text);
}

# Requests the configuration changes after a revision.
struct Ask {
  revision @0 :UInt64;
}

struct Changes {
  values @0 :List(Data);
}

# A whole configuration, for a peer whose revision is too old for changes.
struct Snapshot {
  value @0 :Data;
}

# Asks the peer to commit a write in a group commit.
struct Submit {
  number @0 :UInt64;
  key @1 :Text;
  value @2 :Data;
  delete @3 :Bool;
  expected @4 :Int64;
  withinMs @5 :UInt32;
}

struct Submitted {
  number @0 :UInt64;
  version @1 :UInt64;
  code @2 :UInt16;
}

struct Backlog {
  service @0 :Text;
  waits @1 :List(Float32);
  own @2 :List(Float32);
}

struct Position {
  era @0 :UInt32;
  version @1 :UInt64;
}

struct DatacentreDrain {
  datacentre @0 :Text;
  position @1 :Position;
  active @2 :Bool;
}

# Heartbeat between forwarding instances; beacon.py describes its fields.
struct Beacon {
  catalogue @0 :UInt64;
  directory @1 :Position;
  leaving @2 :Bool;
  asks @3 :Bool;
  backlogs @4 :List(Backlog);
  reads @5 :Bool;
  fed @6 :Bool;
  judges @7 :Bool;
  cut @8 :List(Text);
  drains @9 :List(DatacentreDrain);
  isolated @10 :Bool;
  listAge @11 :UInt16;
  membersAgeS @12 :UInt16;
}

# Requests newer state; a catalogue of -1 stands for none, and the directory is only requested if
# wantsDirectory is set.
struct Want {
  catalogue @0 :Int64;
  directory @1 :Position;
  members @2 :Bool;
  wantsDirectory @3 :Bool;
}

# One part of a compressed catalogue.
struct CatalogueSlice {
  version @0 :UInt64;
  offset @1 :UInt32;
  size @2 :UInt32;
  digest @3 :Data;
  data @4 :Data;
}

struct ServerRecord {
  id @0 :Text;
  position @1 :Position;
  service @2 :Text;
  address @3 :Text;
  datacentre @4 :Text;
  slots @5 :UInt16;
  draining @6 :Bool;
  removed @7 :Bool;
  born @8 :UInt64;
  sequence @9 :UInt64;
  coldMs @10 :Float32;
  softwareVersion @11 :Text;
}

# Changed entries of the list of backend servers.
struct DirectoryCopy {
  position @0 :Position;
  records @1 :List(ServerRecord);
  lapseMs @2 :Float32;
}

struct Member {
  name @0 :Text;
  datacentre @1 :Text;
  peer @2 :Text;
  cores @3 :Float32;
  since @4 :UInt64;
}

struct StageOrder {
  number @0 :UInt64;
  request @1 :Text;
  stage @2 :UInt8;
  service @3 :Text;
  pieces @4 :UInt16;
  key @5 :Text;
  inputs @6 :List(Text);
  remainingMs @7 :Float32;
  dueMs @8 :Float32;
  urgency @9 :UInt8;
  resultBytes @10 :Float32;
  datacentre @11 :Text;
  giveUpMs @12 :Float32;
  lent @13 :Bool;
  fingerprint @14 :Data;
  team @15 :Text;
  releasesInputs @16 :Bool;
  attempt @17 :UInt8;
}

struct PromptPart {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct PlacementOrder {
  number @0 :UInt64;
  service @1 :Text;
  tokens @2 :UInt32;
  mostOutput @3 :UInt32;
  parts @4 :List(PromptPart);
  excluded @5 :List(Text);
  site @6 :Text;
  patienceMs @7 :Float32;
  urgency @8 :UInt8;
  wantsBackup @9 :Bool;
  size @10 :UInt32;
}

struct PlacementReply {
  number @0 :UInt64;
  server @1 :Text;
  expectedMs @2 :Float32;
  source @3 :Text;
  read @4 :UInt32;
  waitMs @5 :Float32;
  backup @6 :Text;
  isFull @7 :Bool;
}

struct PlacementNote {
  number @0 :UInt64;
  readMs @1 :Float32;
  ended @2 :Bool;
  gone @3 :Bool;
  eventMs @4 :Float32;
  unreachable @5 :Bool;
  rejected @6 :Bool;
}

struct StageNotice {
  request @0 :Text;
  stage @1 :UInt8;
  service @2 :Text;
  pieces @3 :UInt16;
  urgency @4 :UInt8;
  givesWay @5 :Bool;
  attempt @6 :UInt8;
}

struct StageRelease {
  service @0 :Text;
  handles @1 :List(Text);
  fetched @2 :Bool;
}

struct PieceResult {
  handle @0 :Text;
  failure @1 :UInt8;
  datacentre @2 :Text;
}

struct StageOutcome {
  number @0 :UInt64;
  results @1 :List(PieceResult);
  backlog @2 :Backlog;
}

struct ServerEnd {
  server @0 :Text;
  ranMs @1 :Float32;
  at @2 :Float64;
  alone @3 :Bool;
  late @4 :Bool;
  request @5 :Text;
}

struct Suspicion {
  fingerprint @0 :Data;
  service @1 :Text;
  ends @2 :List(ServerEnd);
  sentAt @3 :Float64;
  clearedAt @4 :Float64;
  bars @5 :UInt16;
  barredAt @6 :Float64;
  cleared @7 :List(Text);
  presumed @8 :List(ServerEnd);
}

struct ServerNotice {
  server @0 :Text;
  sentAt @1 :Float64;
  seenAt @2 :Float64;
  slackMs @3 :Float32;
  union {
    perSecond @4 :Float32;
    leaving @5 :Void;
    rejectionsPerSecond @6 :Float32;
  }
}

struct ServerSpeed {
  server @0 :Text;
  factor @1 :Float32;
  samples @2 :UInt32;
  ageMs @3 :Float32;
}

struct ServerSpeeds {
  service @0 :Text;
  entries @1 :List(ServerSpeed);
}

struct ServerUsage {
  server @0 :Text;
  usedBytes @1 :Float64;
  lapseMs @2 :Float32;
}

struct ResultUsage {
  service @0 :Text;
  entries @1 :List(ServerUsage);
}

struct RefusedDemand {
  service @0 :Text;
  pieces @1 :List(UInt32);
}

struct DemandReport {
  service @0 :Text;
  askedPerS @1 :Float32;
  trendPerS @2 :Float32;
  capacityPerS @3 :Float32;
}

struct StreamOrigin {
  stream @0 :Data;
  service @1 :Text;
  version @2 :Text;
  remainingMs @3 :Float32;
}

struct OriginQuery {
  number @0 :UInt64;
  stream @1 :Data;
  service @2 :Text;
}

struct OriginReply {
  number @0 :UInt64;
  known @1 :Bool;
  origin @2 :StreamOrigin;
  versions @3 :List(Text);
  complete @4 :Bool;
}

# The root of every message between instances.
struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    ask @2 :Ask;
    changes @3 :Changes;
    snapshot @4 :Snapshot;
    submit @5 :Submit;
    submitted @6 :Submitted;
    beacon @7 :Beacon;
    want @8 :Want;
    catalogueSlice @9 :CatalogueSlice;
    directoryCopy @10 :DirectoryCopy;
    memberList @11 :List(Member);
    stageOrder @12 :StageOrder;
    stageOutcome @13 :StageOutcome;
    stageWithdrawal @14 :UInt64;
    stageRelease @15 :StageRelease;
    placementOrder @16 :PlacementOrder;
    placementReply @17 :PlacementReply;
    placementNote @18 :PlacementNote;
    stageNotice @19 :StageNotice;
    suspicions @20 :List(Suspicion);
    serverNotices @21 :List(ServerNotice);
    serverSpeeds @22 :ServerSpeeds;
    resultUsage @23 :ResultUsage;
    refusedDemand @24 :RefusedDemand;
    demandReport @25 :DemandReport;
    originAnnouncement @26 :List(StreamOrigin);
    originQuery @27 :OriginQuery;
    originReply @28 :OriginReply;
    partSuspicions @29 :List(Suspicion);
  }
}
