#!/usr/bin/env bash
exec "$(dirname "$0")/../stand-2/run-case" 10
