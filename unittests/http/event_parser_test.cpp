#include <limpetlock/http/event_parser.hpp>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace limpetlock::http;

namespace {

std::vector<event> parse(const std::string& text, std::size_t step)
{
    event_parser parser(1000);
    std::vector<event> result;
    for (std::size_t at = 0; at < text.size(); at += step)
        cr_assert(parser.feed(std::string_view(text).substr(at, step)));
    while (auto it = parser.next())
        result.push_back(*it);
    return result;
}

} // namespace

// Guards against events that depend on how the bytes are split into reads, or on the kind of line end.
Test(event_parser, events_do_not_depend_on_chunking_or_line_ends)
{
    const std::string lines[] = {"\xEF\xBB\xBF: comment",
                                 "event: token",
                                 "data: one",
                                 "data:two",
                                 "data",
                                 "id: 7",
                                 "retry: 10",
                                 "",
                                 "data:  x",
                                 "",
                                 "event: no data",
                                 "",
                                 "data",
                                 "",
                                 "data: cut"};
    const std::vector<event> expected{{"token", "one\ntwo\n"}, {"", " x"}, {"", ""}};
    for (const std::string end : {"\n", "\r\n", "\r"}) {
        std::string text;
        for (const auto& it : lines)
            text += it + end;
        for (std::size_t step = 1; step <= text.size(); ++step)
            cr_assert(parse(text, step) == expected, "end of %zu bytes, step %zu", end.size(), step);
    }
}

// Guards against an endpoint that exhausts the memory with one event.
Test(event_parser, event_size_is_bounded)
{
    event_parser parser(16);
    cr_assert(parser.feed("data: 123\n\ndata: 456\n\n"));
    cr_assert_not(parser.feed("data: 1\ndata: 2\ndata: 3456789012"));
    cr_assert_not(parser.feed("\n\n"));
    cr_assert_eq(parser.next()->data, "123");
    cr_assert_eq(parser.next()->data, "456");
    cr_assert_not(parser.next().has_value());
}
