#include <limpetlock/gateway/model.hpp>

#include <array>

namespace limpetlock::gateway {

const route* routing_table::find_route(std::string_view host, std::string_view path) const
{
    const route* best = nullptr;
    for (const auto& it : routes) {
        if (it.host != host || !path.starts_with(it.prefix))
            continue;
        if (best == nullptr || it.prefix.size() > best->prefix.size())
            best = &it;
    }
    return best;
}

const pool* routing_table::find_pool(std::string_view name) const
{
    const auto it = pools.find(name);
    return it == pools.end() ? nullptr : &it->second;
}

std::string_view to_string(piece_failure it)
{
    static constexpr std::array<std::string_view, 5> names{"none", "late", "input_gone", "no_room", "error"};
    return names[static_cast<std::size_t>(it)];
}

} // namespace limpetlock::gateway
