#include <limpetlock/peer/codec.hpp>
#include <limpetlock/peer/generated/peer_types.h>

#include <criterion/criterion.h>

#include <cstddef>
#include <string>
#include <vector>

using namespace limpetlock::peer;

namespace {

constexpr std::size_t pieces = 8;
constexpr std::size_t handle_bytes = 36; ///< of an address, a slash and an id

/// Bytes of an order or reply on the connection.
template <typename Set>
std::size_t frame_bytes(Set set)
{
    wire::frame it;
    it.sender = "instance-0123";
    it.correlation = 1'000'000;
    set(it);
    return encode(it).size();
}

wire::stage_order_message make_order(std::size_t n, bool with_inputs)
{
    wire::stage_order_message out;
    out.pool = "embedding-pool";
    out.request_id = std::string(16, 'a');
    for (std::size_t k = 0; k < n; ++k)
        out.pieces.push_back(static_cast<std::int32_t>(k));
    if (with_inputs) {
        wire::result_group_message group;
        group.place = "instance-0123";
        group.handles.assign(pieces, std::string(handle_bytes, 'h'));
        out.inputs.push_back(std::move(group));
    } else {
        out.key = std::string(32, 'k');
        out.next_pools = {"embedding-pool", "ranking-pool"};
    }
    out.time_left_ms = out.slack_ms = 5'000;
    out.result_bytes = out.transfer_bytes = 800'000;
    out.worth = 1'000;
    out.domain = out.group = "domain-a";
    out.shards = 9;
    return out;
}

wire::stage_result_message make_reply(std::size_t n)
{
    wire::stage_result_message out;
    out.backlog_ms = 500;
    for (std::size_t k = 0; k < n; ++k) {
        wire::piece_result_message piece;
        piece.handle = std::string(handle_bytes, 'h');
        out.pieces.push_back(std::move(piece));
    }
    return out;
}

wire::member_message make_member()
{
    wire::member_message out;
    out.name = "instance-0123";
    out.host = "10.120.130.140";
    out.port = 9'000;
    out.domain = "domain-a";
    out.capacity = 250;
    out.life = 0x7123'4567'89ab'cdef;
    out.age_ms = 1'000;
    return out;
}

} // namespace

// Guards against messages that grow unnoticed: the responsible instance of a large shard exchanges an order
// and a reply for each task and half a second. The figures are in docs/design/sharded-responsibility.md.
Test(message_size, polls_and_pings_stay_small)
{
    const auto bytes_of_order = [](std::size_t n, bool with_inputs) {
        return frame_bytes([&](wire::frame& it) { it.__set_stage_order(make_order(n, with_inputs)); });
    };
    const std::size_t first = bytes_of_order(pieces, false);
    const std::size_t second = bytes_of_order(1, true);
    const std::size_t poll = frame_bytes([](wire::frame& it) {
        wire::stage_order_message order;
        order.request_id = std::string(16, 'a');
        order.poll = true;
        it.__set_stage_order(order);
    });
    const std::size_t in_progress =
        frame_bytes([](wire::frame& it) { it.__set_stage_result(make_reply(0)); });
    const std::size_t done = frame_bytes([](wire::frame& it) { it.__set_stage_result(make_reply(pieces)); });
    const std::size_t ping = frame_bytes([](wire::frame& it) {
        wire::member_ping_message body;
        body.own = make_member();
        body.known.assign(12, make_member());
        it.__set_member_ping(body);
    });
    const std::size_t brief_ping = frame_bytes([](wire::frame& it) {
        wire::member_ping_message body;
        body.own = make_member();
        body.known.assign(3, make_member());
        body.brief = true;
        it.__set_member_ping(body);
    });
    const std::size_t full_ping = frame_bytes([](wire::frame& it) {
        wire::endpoint_limit_message limit;
        limit.endpoint = std::string(24, 'e');
        limit.started_ms = 1'790'000'000'000;
        limit.reporter = "instance-0123";
        limit.age_ms = 10'000;
        wire::endpoint_leaving_message leaving;
        leaving.endpoint = limit.endpoint;
        leaving.started_ms = limit.started_ms;
        leaving.reporter = limit.reporter;
        leaving.age_ms = limit.age_ms;
        wire::member_ping_message body;
        body.own = make_member();
        body.known.assign(12, make_member());
        body.limits.assign(24, limit);
        body.leaving.assign(24, leaving);
        it.__set_member_ping(body);
    });
    const std::size_t release = frame_bytes([](wire::frame& it) {
        wire::stage_release_message body;
        body.handles.assign(pieces, std::string(handle_bytes, 'h'));
        it.__set_stage_release(body);
    });
    cr_log_info("order of the first stage %zu, of one with inputs %zu, poll %zu, reply in progress %zu, "
                "done %zu, return %zu, ping %zu, brief %zu, with all limits and leavings %zu",
                first, second, poll, in_progress, done, release, ping, brief_ping, full_ping);
    cr_expect_lt(first, 280);
    cr_expect_lt(second, 500);
    cr_expect_lt(poll, 100);
    cr_expect_lt(in_progress, 60);
    cr_expect_lt(done, 60 + pieces * (handle_bytes + 6));
    cr_expect_lt(ping, 1'040);
    cr_expect_lt(brief_ping, 330);
}
