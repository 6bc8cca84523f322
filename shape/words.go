package shape

import (
	"maps"
	"strings"
)

// keyword is an SQL keyword that matters to the classification.
type keyword uint8

const (
	keyNone keyword = iota
	keyOther
	keySelect
	keyValues
	keyTable
	keyWith
	keyRecursive
	keyExplain
	keyAnalyze
	keyVerbose
	keyModify // INSERT, UPDATE, DELETE, MERGE
	keyShare
	keyNo
	keyKey
	keyFor
	keyInto
	keyAs
	keyIn
	keyBegin
	keyStart
	keyTransaction
	keyRead
	keyWrite
	keyOnly
	keyEnd
	keyCommit
	keyRollback
	keyTo
	keyPrepared
	keyChain
	keySet
	keyShow
	keyCopy
	keyCreate
	keyTemp
	keyAtomic
	keyCase
	keyDeclare
	keyHold
	keyPrepare
	keySessionState // statements that change the state of the connection
)

// keywordOf returns the keyword of a lower-case word. The conversion to a
// string in a switch needs no allocation.
func keywordOf(word []byte) keyword {
	if len(word) < 2 || len(word) > 11 {
		return keyNone
	}
	switch string(word) {
	case "select":
		return keySelect
	case "values":
		return keyValues
	case "table":
		return keyTable
	case "with":
		return keyWith
	case "recursive":
		return keyRecursive
	case "explain":
		return keyExplain
	case "analyze", "analyse":
		return keyAnalyze
	case "verbose":
		return keyVerbose
	case "insert", "update", "delete", "merge":
		return keyModify
	case "share":
		return keyShare
	case "no":
		return keyNo
	case "key":
		return keyKey
	case "for":
		return keyFor
	case "into":
		return keyInto
	case "as":
		return keyAs
	case "in":
		return keyIn
	case "begin":
		return keyBegin
	case "start":
		return keyStart
	case "transaction":
		return keyTransaction
	case "read":
		return keyRead
	case "write":
		return keyWrite
	case "only":
		return keyOnly
	case "end":
		return keyEnd
	case "commit":
		return keyCommit
	case "rollback", "abort":
		return keyRollback
	case "to":
		return keyTo
	case "prepared":
		return keyPrepared
	case "chain":
		return keyChain
	case "set", "reset":
		return keySet
	case "show":
		return keyShow
	case "copy":
		return keyCopy
	case "create":
		return keyCreate
	case "temp", "temporary", "pg_temp":
		return keyTemp
	case "atomic":
		return keyAtomic
	case "case":
		return keyCase
	case "declare":
		return keyDeclare
	case "hold":
		return keyHold
	case "prepare":
		return keyPrepare
	case "execute", "listen", "unlisten", "load", "discard", "deallocate":
		return keySessionState
	}
	return keyNone
}

// callKind says what a name before an opening parenthesis is.
type callKind uint8

const (
	callUnknown     callKind = iota
	callPure                 // function without side effects
	callGrammarWord          // keyword that may come before a parenthesis
)

// grammarWords are keywords that may come before a parenthesis without being a function.
const grammarWords = `
all and any array as asc between by case cross current cube distinct else end
escape except exists explain filter first for from full group groups having ilike in
inner intersect is isnull join lateral left like limit materialized natural next not
notnull offset on or order outer over partition range recursive returning right
rollup row rows select sets similar some symmetric then to union using values when
where window with within analyze verbose
`

// pureFunctions are functions without side effects. Functions for sequences, advisory
// locks, large objects, notifications and administration, and set_config, are left out.
const pureFunctions = `
abs acos acosd acosh age any_value array_agg array_append array_cat array_dims
array_fill array_length array_lower array_ndims array_position array_positions
array_prepend array_remove array_replace array_sample array_shuffle array_to_json
array_to_string array_upper ascii bernoulli asin asind asinh atan atan2 atan2d atand atanh avg
bit bit_and bit_count bit_length bit_or bit_xor bool bool_and bool_or bpchar btrim
cardinality cast cbrt ceil ceiling char char_length character character_length chr
clock_timestamp coalesce col_description concat concat_ws convert convert_from
convert_to corr cos cosd cosh cot cotd count covar_pop covar_samp cume_dist
current_database current_date current_schema current_schemas current_setting
current_time current_timestamp current_user date date_add date_bin date_part
date_subtract date_trunc decimal decode degrees dense_rank diagonal div encode
enum_first enum_last enum_range erf erfc every exp extract factorial family
first_value float float4 float8 floor format format_type gcd gen_random_uuid
generate_series generate_subscripts get_bit get_byte greatest grouping
has_any_column_privilege has_column_privilege has_database_privilege
has_schema_privilege has_table_privilege height host hostmask initcap int4 int8
interval inet_client_addr inet_client_port inet_server_addr inet_server_port
isempty isfinite json_agg json_array json_array_elements json_array_elements_text
json_array_length json_build_array json_build_object json_each json_each_text
json_exists json_extract_path json_extract_path_text json_object json_object_agg
json_object_keys json_populate_record json_populate_recordset json_query
json_scalar json_serialize json_strip_nulls json_table json_to_record
json_to_recordset json_typeof json_value jsonb_agg jsonb_array_elements
jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object
jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_insert
jsonb_object jsonb_object_agg jsonb_object_keys jsonb_path_exists jsonb_path_match
jsonb_path_query jsonb_path_query_array jsonb_path_query_first
jsonb_populate_record jsonb_populate_recordset jsonb_pretty jsonb_set
jsonb_strip_nulls jsonb_to_record jsonb_to_recordset jsonb_typeof justify_days
justify_hours justify_interval lag last_value lcm lead least left length ln
localtime localtimestamp log log10 lower lower_inc lower_inf lpad ltrim make_date
make_interval make_time make_timestamp make_timestamptz masklen max md5 min
min_scale mod mode multirange nchar netmask network normalize now nth_value ntile
nullif num_nonnulls num_nulls numeric numnode obj_description octet_length overlay
parse_ident percent_rank percentile_cont percentile_disc
pg_backend_pid pg_client_encoding pg_column_size pg_database_size
pg_encoding_to_char pg_get_constraintdef pg_get_expr pg_get_functiondef
pg_get_indexdef pg_get_serial_sequence pg_get_userbyid pg_get_viewdef
pg_indexes_size pg_is_in_recovery pg_last_wal_replay_lsn pg_last_xact_replay_timestamp
pg_postmaster_start_time pg_relation_size pg_size_pretty pg_sleep pg_sleep_for
pg_sleep_until pg_table_is_visible pg_table_size pg_total_relation_size pg_typeof
phraseto_tsquery pi plainto_tsquery position power quote_ident quote_literal
quote_nullable radians random range_agg range_intersect_agg range_merge rank
regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace
regexp_split_to_array regexp_split_to_table regexp_substr regr_avgx regr_avgy
regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy repeat
replace reverse round row_number row_to_json rpad rtrim scale session_user set_bit
set_byte setweight sha224 sha256 sha384 sha512 shobj_description sign
sin sind sinh split_part sqrt starts_with statement_timestamp stddev stddev_pop
stddev_samp string_agg string_to_array string_to_table strip strpos substr
substring sum tan tand tanh text time timeofday timestamp timestamptz timezone
to_ascii to_char to_date to_hex to_json to_jsonb to_number to_regclass to_regtype
to_timestamp to_tsquery to_tsvector transaction_timestamp translate treat trim
trim_array trim_scale trunc ts_headline ts_rank ts_rank_cd tsvector_to_array
unistr unnest upper upper_inc upper_inf user uuid_extract_timestamp var_pop
var_samp varbit varchar variance version websearch_to_tsquery width width_bucket
xmlagg xmlconcat xmlelement xmlexists xmlforest xmlparse xmlserialize xpath
xpath_exists
`

var builtinCalls = buildCalls()

func buildCalls() map[string]callKind {
	m := make(map[string]callKind)
	for name := range strings.FieldsSeq(pureFunctions) {
		m[name] = callPure
	}
	for name := range strings.FieldsSeq(grammarWords) {
		if m[name] == callUnknown {
			m[name] = callGrammarWord
		}
	}
	return m
}

func knownCalls() map[string]callKind { return maps.Clone(builtinCalls) }
