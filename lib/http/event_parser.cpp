#include <limpetlock/http/event_parser.hpp>

#include <utility>

namespace limpetlock::http {

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

} // namespace

bool event_parser::feed(std::string_view bytes)
{
    while (!overflow_ && !bytes.empty()) {
        if (after_cr_ && bytes.front() == '\n')
            bytes.remove_prefix(1);
        after_cr_ = false;
        const auto end = bytes.find_first_of("\r\n");
        line_.append(bytes.substr(0, end));
        if (line_.size() + data_.size() > max_bytes_) {
            overflow_ = true;
            break;
        }
        if (end == std::string_view::npos)
            break;
        after_cr_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        parse_line();
        line_.clear();
    }
    return !overflow_;
}

std::optional<event> event_parser::next()
{
    if (ready_.empty())
        return std::nullopt;
    auto it = std::move(ready_.front());
    ready_.pop_front();
    return it;
}

void event_parser::parse_line()
{
    std::string_view line = line_;
    if (std::exchange(first_line_, false) && line.starts_with(byte_order_mark))
        line.remove_prefix(byte_order_mark.size());
    if (line.empty()) {
        dispatch();
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        parse_field(line, {});
        return;
    }
    auto value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    parse_field(line.substr(0, colon), value);
}

void event_parser::parse_field(std::string_view name, std::string_view value)
{
    if (name == "event")
        name_ = value;
    if (name != "data")
        return;
    if (has_data_)
        data_.push_back('\n');
    data_.append(value);
    has_data_ = true;
}

void event_parser::dispatch()
{
    if (has_data_)
        ready_.push_back({std::move(name_), std::move(data_)});
    name_.clear();
    data_.clear();
    has_data_ = false;
}

} // namespace limpetlock::http
