#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code. Needs flatbuffers-compiler; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../src/libs/wire"
flatc --cpp --scoped-enums --filename-suffix _generated -o generated peer.fbs control.fbs
cd ../granting
flatc --cpp --scoped-enums --filename-suffix _generated -o generated loadreport.fbs
cd ../relay
flatc --cpp --scoped-enums --filename-suffix _generated -o generated relay.fbs
