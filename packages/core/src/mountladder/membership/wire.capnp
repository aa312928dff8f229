@0xd5a1c0f3be27a941;
# wire.capnp -- Messages between entry instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

struct Hello {
  version @0 :UInt16;
  name @1 :Text;
  incarnation @2 :Text;
  datacentre @3 :Text;
  web @4 :Text;
  peer @5 :Text;
  nonce @6 :Data;
}

struct Heartbeat {
  revision @0 :UInt64;
  ageMs @1 :UInt32;
  leaving @2 :Bool;
  leavingServers @3 :List(Text);
}

struct Ask {
  revision @0 :UInt64;
}

struct Changes {
  values @0 :List(Data);
}

struct Snapshot {
  value @0 :Data;
}

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

struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    ask @2 :Ask;
    changes @3 :Changes;
    snapshot @4 :Snapshot;
    submit @5 :Submit;
    submitted @6 :Submitted;
  }
}
