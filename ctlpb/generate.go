// Package ctlpb holds the messages and services between the instances of the
// proxy. The Go code is generated from the .proto files and committed.
package ctlpb

//go:generate protoc -I .. --go_out=.. --go_opt=module=tamarackcross --go-drpc_out=.. --go-drpc_opt=module=tamarackcross ctlpb/raft.proto ctlpb/service.proto
