package stmt

import "strings"

// readOnlyWords holds the words that can precede a parenthesis in a read: keywords, types with a length,
// and built-in functions without side effects. Any other function counts as a write, since it may be a
// user-defined function that writes.
var readOnlyWords = func() map[string]bool {
	set := make(map[string]bool)
	for _, words := range []string{keywords, types, aggregates, scalars, dates, documents, catalog, volatile} {
		for w := range strings.FieldsSeq(words) {
			set[w] = true
		}
	}
	return set
}()

const (
	// Words that are also likely names of user-defined functions, such as next or first, are left out.
	keywords = `all and any array as between by case cast coalesce cube distinct else except exists
		from greatest group grouping having ilike in intersect join lateral least like limit
		materialized not nullif offset on only operator or overlaps rollup row select sets some
		then to union using values variadic when where with xmlelement xmlforest`
	types = `bit bool bpchar char character date dec decimal float float8 int4 int8 interval numeric text
		time timestamp timestamptz timetz varbit varchar varying`
	aggregates = `array_agg avg bit_and bit_or bool_and bool_or corr count covar_pop covar_samp
		cume_dist dense_rank every first_value json_agg json_object_agg jsonb_agg jsonb_object_agg
		lag last_value lead max min mode nth_value ntile percent_rank percentile_cont
		percentile_disc rank regr_slope row_number stddev stddev_pop stddev_samp string_agg sum
		var_pop var_samp variance`
	scalars = `abs array_append array_cat array_length array_lower array_ndims array_position
		array_positions array_prepend array_remove array_replace array_to_string array_upper ascii
		btrim cardinality cbrt ceil ceiling char_length character_length chr concat concat_ws
		convert_from convert_to decode degrees div encode exp floor format generate_series
		generate_subscripts get_byte hashtext initcap int4range int8range isempty isfinite left
		length ln log lower lower_inc lpad ltrim make_interval md5 mod normalize num_nonnulls
		num_nulls numrange octet_length overlay parse_ident pg_typeof pi position power quote_ident
		quote_literal quote_nullable radians regexp_like regexp_match regexp_matches
		regexp_replace regexp_split_to_array regexp_split_to_table repeat replace reverse right
		round rpad rtrim scale sha224 sha256 sha384 sha512 sign split_part sqrt starts_with
		string_to_array string_to_table strpos substr substring to_hex translate treat trim trunc
		unnest upper upper_inc width_bucket`
	dates = `age current_date current_time current_timestamp date_bin date_part date_trunc daterange
		extract justify_days justify_hours justify_interval localtime localtimestamp make_date
		make_time make_timestamp make_timestamptz now statement_timestamp timezone to_char to_date
		to_number to_timestamp transaction_timestamp tsrange tstzrange`
	documents = `json_array_elements json_array_elements_text json_array_length json_build_array
		json_build_object json_each json_each_text json_extract_path json_extract_path_text
		json_object json_object_keys json_populate_record json_to_record json_to_recordset
		json_typeof jsonb_array_elements jsonb_array_elements_text jsonb_array_length
		jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path
		jsonb_extract_path_text jsonb_object jsonb_object_keys jsonb_path_exists jsonb_path_query
		jsonb_path_query_array jsonb_path_query_first jsonb_pretty jsonb_set jsonb_strip_nulls
		jsonb_to_record jsonb_to_recordset jsonb_typeof plainto_tsquery row_to_json setweight
		to_json to_jsonb to_tsquery to_tsvector ts_headline ts_rank ts_rank_cd
		websearch_to_tsquery`
	volatile = `clock_timestamp gen_random_uuid random timeofday`
	catalog  = `col_description current_database current_schema current_schemas current_setting
		current_user format_type has_schema_privilege has_table_privilege obj_description
		pg_encoding_to_char pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_indexdef
		pg_get_serial_sequence pg_get_userbyid pg_get_viewdef
		pg_relation_size pg_size_pretty pg_table_is_visible pg_table_size pg_total_relation_size
		to_regclass to_regtype version`
)
