#include "platform/platform.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace limpetlock;
using nlohmann::json;

namespace {

const char* const settings_text = R"({
  "node": "n-1", "zone": "a", "ip": "10.1.0.1",
  "listen": {"front": "10.1.0.1:8625", "ready": "10.1.0.1:8621", "control": "10.1.0.1:8628"},
  "seeds": ["10.1.0.1:8628", "10.2.0.1:8628"],
  "limits": {"cpuShare": 0.25, "cores": 2},
  "bounds": {"contactMs": 3500, "drainMs": 2500, "graceS": 8, "configMs": 2000, "strictRevoke": true, "revokeMs": 5000,
             "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "recoverS": 12},
  "provider": {"addr": "10.200.1.7:8624", "form": "read", "readsPerS": 2000}, "later": {"x": 1}})";

json table_json()
{
    return json::parse(R"({"version":7,
      "routes":[{"name":"r1","host":"h.example","prefix":"/a/","kind":"stream","timeoutMs":15000,"goalMs":1200,
                 "priority":0,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2,
                 "stages":[{"service":"p1","after":[],"bytes":800000},{"service":"p1","after":[0],"bytes":10}],
                 "public":false,"sticky":true,"resumable":true,"gapGoalMs":400},
                {"name":"r2","host":"h.example","prefix":"/a/b/","kind":"idempotent","timeoutMs":800,
                 "goalMs":100,"priority":2,"service":"s2","attempts":2,"public":true},
                {"name":"r3","host":"h.example","prefix":"/c/","kind":"non_idempotent","timeoutMs":800,
                 "service":"s2"}],
      "services":[{"name":"s1","healthPath":"/healthz","maxConns":500,"engine":{"slots":128,"kvTokens":785915}},
                  {"name":"s2","healthPath":"/healthz","maxConns":48},
                  {"name":"p1","maxConns":500,"pieces":{"slots":1,"queue":2,"batch":12,"callMs":240.0,
                   "itemMs":17.0,"headroomMb":14.0,"handleS":4.0,"linkMbps":10000}}],
      "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
      "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},{"name":"t2","apiKeys":["k3"]}]})");
}

json entry_json()
{
    return json::parse(R"({"service":"s1","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":128,
                           "state":"ready","coldLeftMs":0,"seq":4,"born":1700000000000})");
}

http::request caller_request()
{
    return {"POST",
            "/a/x?q=1",
            {{"Host", "h.example"},
             {"Limpetlock-Request-Id", "9c41"},
             {"Limpetlock-Deadline-Ms", "1500"},
             {"Limpetlock-Pieces", "2,0"},
             {"Limpetlock-Piece-Key", "pk"},
             {"Limpetlock-Token-Count", "1460,80"},
             {"Limpetlock-Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
             {"Authorization", "Bearer k1"},
             {"Limpetlock-Tenant", "forged"},
             {"Kv-From", "10.0.0.1:80/x"},
             {"Limpetlock-Pin-Ms", "100"},
             {"Connection", "X-Hop"},
             {"X-Hop", "1"},
             {"X-Other", "kept"}},
            "body"};
}

const gateway::platform_codec& codec()
{
    static const auto it = platform::make_codec();
    return *it;
}

} // namespace

Test(platform_settings, decodes_the_file)
{
    std::string reason;
    const auto it = platform::parse_settings(settings_text, reason);
    cr_assert(it.has_value(), "%s", reason.c_str());
    cr_expect_eq(it->name, "n-1");
    cr_expect_eq(it->domain, "a");
    cr_expect(it->caller_address == (http::address{"10.1.0.1", 8625}));
    cr_expect(it->peer_address == (http::address{"10.1.0.1", 8628}));
    cr_expect_eq(it->seeds.size(), 2);
    cr_expect_eq(it->capacity_millicores, 500);
    cr_expect_eq(it->bounds.endpoint_leave_time.count(), 2500);
    cr_expect_eq(it->bounds.contact_time.count(), 3500);
    cr_expect_eq(it->bounds.stop_time.count(), 8000);
}

Test(platform_settings, reason_names_the_missing_field)
{
    for (const char* name : {"node", "zone", "listen", "seeds", "provider"}) {
        auto it = json::parse(settings_text);
        it.erase(name);
        std::string reason;
        cr_expect_not(platform::parse_settings(it.dump(), reason).has_value());
        cr_expect_neq(reason.find(name), std::string::npos, "%s", reason.c_str());
    }
    std::string reason;
    cr_expect_not(platform::parse_settings("{", reason).has_value());
}

Test(platform_table, decodes_routes_pools_and_keys)
{
    std::string reason;
    const auto it = codec().decode_table(table_json().dump(), reason);
    cr_assert(it.has_value(), "%s", reason.c_str());
    cr_expect_eq(it->version, 7);
    const auto* stream = it->find_route("h.example", "/a/x");
    cr_assert_not_null(stream);
    cr_expect_eq(stream->name, "r1");
    cr_expect_not(stream->repeatable);
    cr_expect(stream->resumable);
    cr_expect_eq(stream->stages.size(), 2);
    cr_expect_eq(stream->targets.size(), 2);
    cr_expect_eq(it->find_route("h.example", "/a/b/c")->name, "r2", "the longest prefix decides");
    cr_expect(it->find_route("h.example", "/a/b/c")->repeatable);
    cr_expect_not(it->find_route("h.example", "/c/d")->repeatable);
    cr_expect_null(it->find_route("other.example", "/a/x"));
    cr_expect_null(it->find_route("h.example", "/a"), "a prefix ends with a slash");
    cr_expect_eq(it->find_pool("p1")->stage->max_batch_pieces, 12);
    cr_expect_eq(it->teams_by_key.at("k2").name, "t1");
    cr_expect_eq(*it->teams_by_key.at("k1").priority, 1);
    cr_expect_not(it->teams_by_key.at("k3").priority.has_value());
}

Test(platform_table, stage_that_needs_a_later_one_is_rejected)
{
    auto it = table_json();
    it["routes"][0]["stages"][0]["after"] = {1};
    std::string reason;
    cr_expect_not(codec().decode_table(it.dump(), reason).has_value());
    cr_expect_neq(reason.find("after"), std::string::npos);
}

// Guards against an entry of another writer that is taken as an endpoint although a field is missing, has
// another type or holds an unknown state.
Test(platform_entry, entry_with_missing_or_malformed_field_is_rejected)
{
    std::string reason;
    const auto valid = codec().decode_endpoint("servers/i-1", entry_json().dump(), reason);
    cr_assert(valid.has_value(), "%s", reason.c_str());
    cr_expect_eq(valid->id, "i-1");
    cr_expect_eq(valid->slots, 128);
    for (const char* name : {"service", "addr", "zone", "version", "slots", "state", "coldLeftMs", "seq"}) {
        auto missing = entry_json();
        missing.erase(name);
        cr_expect_not(codec().decode_endpoint("servers/i-1", missing.dump(), reason).has_value(), "%s", name);
        auto other = entry_json();
        other[name] = json::array();
        cr_expect_not(codec().decode_endpoint("servers/i-1", other.dump(), reason).has_value(), "%s", name);
    }
    auto unknown = entry_json();
    unknown["state"] = "asleep";
    cr_expect_not(codec().decode_endpoint("servers/i-1", unknown.dump(), reason).has_value());
    auto fraction = entry_json();
    fraction["born"] = 1.5;
    cr_expect_not(codec().decode_endpoint("servers/i-1", fraction.dump(), reason).has_value());
    cr_expect_not(codec().decode_endpoint("servers/i-1", "\xff\xfe", reason).has_value());
}

Test(platform_store, decodes_entries_pages_and_events)
{
    gateway::state_page page;
    const http::response item{
        200, {}, R"({"key":"a","value":"aGk=","rev":4,"created":4,"lease":0,"asOf":9})"};
    cr_expect(codec().decode_entry(item, page) == gateway::store_answer_status::ok);
    cr_expect_eq(page.entries[0].value, "hi");
    cr_expect_eq(page.revision, 9);
    page = {};
    const http::response events{
        200,
        {},
        R"({"events":[{"key":"a","value":"","rev":5,"created":4,"lease":0},{"key":"b","rev":6,"deleted":true}],"asOf":6})"};
    cr_expect(codec().decode_events(events, page) == gateway::store_answer_status::ok);
    cr_expect_eq(page.entries.size(), 2);
    cr_expect(page.entries[1].removed);
    cr_expect(codec().decode_events({410, {}, "{}"}, page) == gateway::store_answer_status::history_lost);
    cr_expect(codec().decode_entry({404, {}, "{}"}, page) == gateway::store_answer_status::absent);
    cr_expect(codec().decode_page({503, {}, "{}"}, page) == gateway::store_answer_status::refused);
    cr_expect(codec().decode_entry({200, {}, R"({"key":"a","value":"***","rev":1,"asOf":2})"}, page) ==
              gateway::store_answer_status::malformed);
}

// Guards against a list that isn't followed any more because of one item of another writer.
Test(platform_store, an_odd_item_costs_only_itself)
{
    const std::vector<std::string> odd{R"({"key":"b","value":"***","rev":2})",
                                       R"({"key":"b","value":"aGk=","rev":18446744073709551615})",
                                       R"({"key":"b","value":"aGk=","rev":"2"})",
                                       R"({"key":"b","rev":2})",
                                       R"({"value":"aGk=","rev":2})",
                                       R"([1])",
                                       "null",
                                       R"({"key":7,"value":"aGk=","rev":2})"};
    for (const auto& it : odd) {
        const std::string list =
            R"([{"key":"a","value":"aGk=","rev":1},)" + it + R"(,{"key":"c","value":"aGk=","rev":3}])";
        for (const bool events : {false, true}) {
            gateway::state_page page;
            const http::response answer{
                200, {}, (events ? R"({"events":)" : R"({"items":)") + list + R"(,"asOf":9})"};
            const auto status =
                events ? codec().decode_events(answer, page) : codec().decode_page(answer, page);
            cr_expect(status == gateway::store_answer_status::ok, "%s", it.c_str());
            cr_assert_eq(page.entries.size(), 2, "%s", it.c_str());
            cr_expect_eq(page.entries[1].key, "c");
            cr_expect_eq(page.rejected.size(), 1);
            cr_expect_eq(page.last_key, "c");
        }
    }
}

// Guards against times of coldness that are absurd, negative or malformed.
Test(platform_entry, coldness_is_decoded_and_bounded)
{
    const auto codec = platform::make_codec();
    std::string reason;
    json table = table_json();
    table["services"][0]["coldS"] = 2.5;
    table["services"][0]["coldPerS"] = 11;
    table["services"][1]["coldS"] = -1;
    table["services"][1]["coldPerS"] = -3;
    const auto pools = codec->decode_table(table.dump(), reason)->pools;
    cr_expect_eq(pools.at("s1").cold_time, duration(2'500));
    cr_expect_eq(pools.at("s1").cold_rate, 11);
    cr_expect_eq(pools.at("s2").cold_time, duration(0));
    cr_expect_eq(pools.at("s2").cold_rate, 0);
    cr_expect_eq(pools.at("p1").cold_rate, 0);
    const auto left_of = [&](const std::string& text) {
        return codec->decode_answer_metadata(200, {{"Limpetlock-Cold-Ms", text}});
    };
    cr_expect_eq(left_of("1200").cold_left.value_or(duration(-1)), duration(1'200));
    cr_expect_eq(left_of("0").cold_left.value_or(duration(-1)), duration(0));
    cr_expect_leq(left_of("99999999999999999999").cold_left.value_or(duration(-1)), duration(1'000'000'000));
    for (const char* const text : {"", "-5", "soon", "1e3"})
        cr_expect(left_of(text).malformed_cold_left && !left_of(text).cold_left, "%s", text);
    const auto settings = [&](const json& bounds) {
        json it = json::parse(settings_text);
        it["bounds"].update(bounds);
        return platform::parse_settings(it.dump(), reason)->bounds;
    };
    cr_expect(settings({{"coldOver", 1.5}, {"coldSlack", 5}}).cold == (gateway::cold_bound{1.5, 5}));
    cr_expect_not(settings({{"coldOver", 1.5}}).cold.has_value());
    cr_expect_eq(settings({{"evacMs", 5'000}}).evacuation_time.value_or(duration(0)), duration(5'000));
    cr_expect_not(settings(json::object()).evacuation_time.has_value());
}

// Guards against an order to evacuate that is lost for its value, which says nothing, and against keys
// without a usable domain.
Test(platform_store, order_to_evacuate_is_its_key_alone)
{
    const auto codec = platform::make_codec();
    gateway::state_page page;
    const http::response answer{
        200, {}, R"({"asOf":9,"items":[{"key":"op/evacuate/b/c","value":"no base64","rev":7}]})"};
    cr_assert(codec->decode_page(answer, page) == gateway::store_answer_status::ok);
    cr_assert_eq(page.entries.size(), 1);
    std::string reason;
    cr_expect_eq(codec->decode_evacuation(page.entries[0].key, reason).value_or("-"), "b/c");
    cr_expect_not(codec->decode_evacuation("op/evacuate/", reason).has_value());
    cr_expect_not(reason.empty());
    cr_expect(codec->decode_evacuation("op/evacuate/" + std::string(200, 'd'), reason).has_value());
    cr_expect_not(codec->decode_evacuation("op/evacuate/" + std::string(201, 'd'), reason).has_value());
    // A value that looks like an endpoint's must not decide which revision of the order is newer.
    cr_expect_not(codec->decode_value_version("op/evacuate/b", R"({"born":5,"seq":6})").has_value());
}

// Guards against entries that wrap or narrow a number, name no usable port, or overflow the stack.
Test(platform_entry, entry_with_an_absurd_value_is_rejected)
{
    const auto with = [](const char* name, const json& value) {
        auto out = entry_json();
        out[name] = value;
        return out.dump();
    };
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    std::string nested = entry_json().dump();
    nested.replace(nested.size() - 1, 1, R"(,"note":)" + deep + "}");
    const std::vector<std::string> odd{with("slots", std::uint64_t{1} << 32U),
                                       with("slots", UINT64_MAX),
                                       with("seq", std::uint64_t{1} << 63U),
                                       with("seq", 1e300),
                                       with("born", UINT64_MAX),
                                       with("born", (std::uint64_t{1} << 53U) + 1),
                                       with("born", INT64_MIN),
                                       with("addr", "10.0.0.1:65536"),
                                       with("addr", "10.0.0.1:0"),
                                       with("addr", "10.0.0.1:-1"),
                                       with("coldLeftMs", 1e308),
                                       R"({"slots":1e999})",
                                       nested,
                                       deep};
    for (const auto& it : odd) {
        std::string reason;
        cr_expect_not(codec().decode_endpoint("servers/i-1", it, reason).has_value(), "%s",
                      it.substr(0, 120).c_str());
        cr_expect_not(reason.empty());
    }
}

// Guards against answers of stage endpoints, and messages of callers, whose copy overflows the stack.
Test(platform_decoders, deep_nesting_causes_no_crash)
{
    const std::string deep = std::string(2'000'000, '[') + std::string(2'000'000, ']');
    cr_expect_not(codec().decode_stage_answer(R"({"items":[{"reason":)" + deep + "}]}", 1).has_value());
    std::string reason;
    gateway::state_page page;
    cr_expect_not(codec().decode_table(R"({"version":)" + deep + "}", reason).has_value());
    cr_expect_not(platform::parse_settings(deep, reason).has_value());
    cr_expect(codec().decode_page({200, {}, R"({"items":)" + deep + "}"}, page) ==
              gateway::store_answer_status::malformed);
}

// Guards against a Retry-After that is taken for none, or makes the endpoint wait for ever.
Test(platform_answer, leaving_and_retry_after_are_decoded)
{
    cr_expect(codec().decode_answer_metadata(200, {{"Server-Leaving", "1"}}).leaving);
    cr_expect(codec().decode_answer_metadata(503, {{"Server-Leaving", " 1 "}}).leaving);
    cr_expect_not(codec().decode_answer_metadata(200, {{"Server-Leaving", "0"}}).leaving);
    cr_expect_not(codec().decode_answer_metadata(200, {}).leaving);
    const auto wait = [](const char* text) {
        return codec().decode_answer_metadata(503, {{"Retry-After", text}});
    };
    cr_expect_eq(wait("2").retry_after->count(), 2'000);
    cr_expect_eq(wait("0.25").retry_after->count(), 250);
    cr_expect_eq(wait("1e300").malformed_retry_after, true);
    cr_expect_gt(wait("99999999999999999999").retry_after->count(), 0);
    for (const char* text : {"-1", "", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "inf", "nan"}) {
        cr_expect(wait(text).malformed_retry_after, "%s", text);
        cr_expect_not(wait(text).retry_after.has_value(), "%s", text);
    }
    cr_expect_not(codec().decode_answer_metadata(429, {{"Retry-After", "2"}}).retry_after.has_value(),
                  "only a 503 turns this instance away");
}

Test(platform_request, headers_that_callers_may_not_set_are_not_forwarded)
{
    std::string reason;
    const auto it = codec().decode_request(caller_request(), reason);
    cr_assert(it.has_value(), "%s", reason.c_str());
    cr_expect_eq(it->path, "/a/x");
    cr_expect_eq(it->time_left->count(), 1500);
    cr_expect_eq(*it->api_key, "k1");
    cr_expect_eq(it->stage_pieces.size(), 2);
    cr_expect_eq(it->prompt.size(), 2);
    cr_expect_eq(it->prompt_tokens, 1460);
    gateway::forwarding_metadata extra;
    extra.time_left = duration{900};
    extra.endpoint_id = "i-1";
    extra.team = "t1";
    extra.inputs = {"h1", "h2"};
    const auto out = codec().encode_forwarded_request(caller_request(), extra);
    const auto value = [&out](std::string_view name) {
        return std::string(http::find_header(out.headers, name).value_or("(absent)"));
    };
    cr_expect_eq(out.target, "/a/x?q=1");
    cr_expect_eq(out.body, "body");
    cr_expect_eq(value("Limpetlock-Tenant"), "t1");
    cr_expect_eq(value("Limpetlock-Deadline-Ms"), "900");
    cr_expect_eq(value("Limpetlock-Expect-Instance"), "i-1");
    cr_expect_eq(value("Limpetlock-Inputs"), "h1,h2");
    cr_expect_eq(value("X-Other"), "kept");
    for (const char* name : {"Authorization", "Kv-From", "Limpetlock-Pin-Ms", "Connection", "X-Hop"})
        cr_expect_eq(value(name), "(absent)", "%s", name);
    cr_expect_eq(value("Limpetlock-Prefix-Hash"), "5c1e07a2:800,91bd3f06:410", "unchanged");
}

Test(platform_request, malformed_headers_give_a_reason)
{
    for (const char* name : {"Limpetlock-Deadline-Ms", "Limpetlock-Pieces", "Limpetlock-Prefix-Hash",
                             "Limpetlock-Token-Count"}) {
        auto message = caller_request();
        for (auto& it : message.headers)
            if (it.name == name)
                it.value = "x;y";
        std::string reason;
        cr_expect_not(codec().decode_request(message, reason).has_value(), "%s", name);
        cr_expect_not(reason.empty());
    }
}

Test(platform_answer, only_the_header_marks_a_request_as_not_run)
{
    const auto refused = codec().decode_answer_metadata(503, {{"Limpetlock-Not-Run", "1"}});
    cr_expect(refused.not_run);
    cr_expect_not(codec().decode_answer_metadata(503, {}).not_run);
    cr_expect(codec().decode_answer_metadata(421, {}).wrong_endpoint);
    cr_expect(codec().decode_answer_metadata(409, {{"Limpetlock-Not-Run", "1"}}).inputs_gone);
    const auto limited =
        codec().decode_answer_metadata(200, {{"Server-Limit", "1.4"}, {"Server-Limit", "2"}});
    cr_expect_eq(limited.max_rate.value_or(-1), 1.4);
    for (const auto* malformed : {"-1", "", "1e", "inf", "nan", "1,4"}) {
        const auto it = codec().decode_answer_metadata(200, {{"Server-Limit", malformed}});
        cr_expect(it.malformed_max_rate && !it.max_rate, "%s", malformed);
    }
    cr_expect_not(codec().decode_answer_metadata(200, {}).malformed_max_rate);
    const auto load = codec().decode_answer_metadata(200, {{"Limpetlock-Server-Load", "3,1,8"}}).load;
    cr_assert(load.has_value());
    cr_expect_eq(load->waiting, 1);
    cr_expect_not(codec().decode_answer_metadata(200, {{"Limpetlock-Server-Load", "3,1"}}).load.has_value());
    cr_expect_not(load->time_percent.has_value());
    cr_expect_not(codec().matches_request_id({{"Limpetlock-Request-Id", "other"}}, "9c41"));
}

// Guards against load reports that are dropped because a service states more than three figures, and against
// absurd figures that make an endpoint look idle or fast.
Test(platform_answers, load_reports_have_three_figures_or_more)
{
    const auto decode = [](const std::string& text) {
        return codec().decode_answer_metadata(200, {{"Limpetlock-Server-Load", text}});
    };
    cr_expect(decode("3,1,8").load == gateway::load_report({3, 1, 8, std::nullopt}));
    cr_expect(decode("3,1,8,250").load == gateway::load_report({3, 1, 8, 250}));
    cr_expect(decode(" 3, 1 ,8, 97.5 ").load == gateway::load_report({3, 1, 8, 97.5}));
    cr_expect(decode("3,1,8,100,17,new").load == gateway::load_report({3, 1, 8, 100}),
              "ignores later figures");
    for (const auto* malformed :
         {"", "3,1", "3,,8,100", "-3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5", "3,1,8,nan",
          "3,1,8,1e3", "3,1,8,9999999", "4000000000,1,8", "3,99999999999,8,100", "3,1,8;100"}) {
        const auto it = decode(malformed);
        cr_expect(it.malformed_load && !it.load, "%s", malformed);
    }
    cr_expect_not(codec().decode_answer_metadata(200, {}).malformed_load);
    cr_expect_eq(codec().decode_answer_metadata(200, {{"Limpetlock-Instance-Id", "i-7"}}).endpoint_id, "i-7");
}

// Guards against a request line that a health path could break, and against a table that is rejected for it.
Test(platform_table, health_path_is_read_or_left_out)
{
    auto table = table_json();
    const auto path_of_s1 = [&table] {
        std::string reason;
        const auto it = codec().decode_table(table.dump(), reason);
        cr_assert(it.has_value(), "%s", reason.c_str());
        return it->find_pool("s1")->health_path;
    };
    cr_expect_eq(path_of_s1(), "/healthz");
    for (const json& unusable : {json(nullptr), json(7), json(""), json("healthz"), json("/a b"),
                                 json("/a\r\nX: y"), json(std::string(300, '/'))}) {
        table["services"][0]["healthPath"] = unusable;
        cr_expect_eq(path_of_s1(), "");
    }
}

// Guards against results that are assigned to the pieces of another request because their number differs from
// the number of pieces.
Test(platform_stage, answer_with_another_number_of_results_is_rejected)
{
    const std::string two = R"({"items":[{"handle":"10.1.64.7:8080/91"},{"reason":"gone"}]})";
    const auto it = codec().decode_stage_answer(two, 2);
    cr_assert(it.has_value());
    cr_expect_eq((*it)[0].handle, "10.1.64.7:8080/91");
    cr_expect((*it)[1].failure == gateway::piece_failure::input_gone);
    cr_expect_not(codec().decode_stage_answer(two, 1).has_value());
    cr_expect_not(codec().decode_stage_answer(two, 3).has_value());
    cr_expect_not(codec().decode_stage_answer("[]", 0).has_value());
    cr_expect(codec().producer_of("10.1.64.7:8080/91") == (http::address{"10.1.64.7", 8080}));
    cr_expect_not(codec().producer_of("nonsense").has_value());
}

// Guards against decoders that throw or crash on entries of other writers and on damaged answers. Each of
// 4000 rounds changes or erases a few random bytes of a valid text.
Test(platform_decoders, random_damage_causes_no_exception)
{
    std::mt19937 random(20261204);
    const std::vector<std::string> texts{
        table_json().dump(), entry_json().dump(), settings_text,
        R"({"items":[{"key":"a","value":"aGk=","rev":4}],"morePages":false,"asOf":9})",
        R"({"items":[{"handle":"10.1.64.7:8080/91"},{"reason":"gone"}]})"};
    for (int n = 0; n < 4000; ++n) {
        std::string text = texts[random() % texts.size()];
        for (unsigned k = 0; k < 1 + random() % 4; ++k) {
            const auto offset = random() % text.size();
            if (random() % 3 == 0)
                text.erase(offset, random() % 8);
            else
                text[offset] = static_cast<char>(random() % 256);
            if (text.empty())
                text = "x";
        }
        std::string reason;
        gateway::state_page page;
        codec().decode_table(text, reason);
        codec().decode_endpoint("servers/x", text, reason);
        platform::parse_settings(text, reason);
        codec().decode_page({200, {}, text}, page);
        codec().decode_events({200, {}, text}, page);
        codec().decode_entry({200, {}, text}, page);
        codec().decode_stage_answer(text, 2);
        auto message = caller_request();
        message.headers[random() % message.headers.size()].value = text.substr(0, 40);
        codec().decode_request(message, reason);
    }
}
