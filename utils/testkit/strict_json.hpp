/// \file
/// Parsing of JSON settings that treats an unknown key as an error.
#pragma once

#include <nlohmann/json.hpp>

#include <fstream>
#include <stdexcept>
#include <string>

namespace limpetlock::testkit {

/// Converts an object to T; absent keys keep T's defaults. Throws std::invalid_argument for an unknown key
/// and nlohmann::json::exception for a wrong type.
template <typename T>
T parse_strict(const nlohmann::json& from)
{
    if (!from.is_object())
        throw std::invalid_argument("expected a JSON object");
    T out = from.get<T>();
    const nlohmann::json known = out;
    for (const auto& it : from.items())
        if (!known.contains(it.key()))
            throw std::invalid_argument("unknown key \"" + it.key() + "\"");
    return out;
}

/// Throws std::runtime_error when the file can't be read.
inline nlohmann::json read_json(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("can't read " + path);
    return nlohmann::json::parse(in);
}

} // namespace limpetlock::testkit
