//go:build deps

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/integrii/flaggy"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "github.com/rs/zerolog"
	_ "github.com/sourcegraph/conc"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/xdg-go/scram"
	_ "go.yaml.in/yaml/v3"
	_ "gonum.org/v1/plot"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc"
)
