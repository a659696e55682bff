#include <limpetlock/support/settings.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>

using namespace limpetlock;

namespace {

settings_schema schema()
{
    return {
        {"listen", "callers", setting_type::address, "Address for callers.", "", std::nullopt},
        {"listen", "admin", setting_type::address, "Address for operators.", "", "[::1]:9000"},
        {"limits", "connections", setting_type::integer, "Open connections.", "connections", "100", 1, 4096},
        {"limits", "idle", setting_type::milliseconds, "Idle time.", "", "60000", 10},
        {"process", "name", setting_type::string, "Instance name.", "", "entry"}};
}

bool has_error(const settings_reader& reader, const settings_error& wanted)
{
    return std::any_of(reader.errors().begin(), reader.errors().end(), [&](const settings_error& it) {
        return it.code == wanted.code && it.section == wanted.section && it.key == wanted.key &&
               it.line == wanted.line && it.file == "f.ini" && !it.reason.empty();
    });
}

} // namespace

// Guards against values that differ from the file, and against defaults that aren't applied.
Test(settings, typed_values_and_defaults)
{
    settings_reader reader(schema());
    const auto it = reader.read_text("; comment\n[listen]\ncallers = 10.0.0.1:80\n[limits]\nconnections=7\n"
                                     "[process]\nname = a b = c\n",
                                     "f.ini");
    cr_assert(it.has_value());
    cr_assert((it->address("listen", "callers") == ip_endpoint{"10.0.0.1", 80}));
    cr_assert((it->address("listen", "admin") == ip_endpoint{"::1", 9000}));
    cr_assert_eq(it->integer("limits", "connections"), 7);
    cr_assert(it->milliseconds("limits", "idle") == duration(60000));
    cr_assert_eq(it->string("process", "name"), "a b = c");
    cr_assert_throw(it->integer("limits", "idle"), std::logic_error);
    cr_assert_throw(it->string("limits", "none"), std::logic_error);
}

// Guards against a report of only the first error, with which an operator corrects one error at each start,
// and against unknown keys that are ignored.
Test(settings, all_errors_at_once)
{
    settings_reader reader(schema());
    const auto it = reader.read_text("stray = 1\n"
                                     "[listen]\n"
                                     "admin = host:80\n"
                                     "[limits]\n"
                                     "connections = 5000\n"
                                     "connections = 7\n"
                                     "idle = 5s\n"
                                     "idel = 5\n"
                                     "no equals sign\n"
                                     "[other]\n"
                                     "x = 1\n"
                                     "[limits]\n",
                                     "f.ini");
    cr_assert_not(it.has_value());
    cr_assert(has_error(reader, settings_error{settings_errc::unknown_key, "", 0, "", "stray", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::wrong_type, "", 0, "listen", "admin", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::missing, "", 0, "listen", "callers", ""}));
    cr_assert(
        has_error(reader, settings_error{settings_errc::out_of_range, "", 0, "limits", "connections", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::duplicate, "", 6, "", "", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::wrong_type, "", 0, "limits", "idle", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::unknown_key, "", 0, "limits", "idel", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::syntax, "", 9, "", "", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::unknown_section, "", 0, "other", "", ""}));
    cr_assert(has_error(reader, settings_error{settings_errc::duplicate, "", 12, "", "", ""}));
    cr_assert_eq(reader.errors().size(), 10U);
    cr_assert_eq(to_string(reader.errors().front()).find("f.ini:6: "), 0U);
}

// Guards against accepting text that only resembles a number or an address.
Test(settings, strict_values)
{
    for (const std::string value : {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3.4:-1", "::1:80",
                                    "[1.2.3.4]:80", "[::1]", "localhost:80", "1.2.3.4:80 ; note"}) {
        settings_reader reader(schema());
        cr_assert_not(reader.read_text("[listen]\ncallers = " + value + "\n", "f.ini").has_value(), "%s",
                      value.c_str());
    }
    for (const std::string value :
         {"", "x", "1x", "1 2", "1.5", "0x10", "99999999999999999999", "0", "4097", "+5"}) {
        settings_reader reader(schema());
        cr_assert_not(
            reader.read_text("[listen]\ncallers=1.2.3.4:1\n[limits]\nconnections = " + value + "\n", "f.ini")
                .has_value(),
            "%s", value.c_str());
    }
}

// Guards against a missing or unreadable file that is treated as an empty one.
Test(settings, unreadable_files)
{
    settings_reader reader({});
    for (const std::string path : {"/no/such/file.ini", "/"}) {
        cr_assert_not(reader.read_file(path).has_value());
        cr_assert_eq(reader.errors().size(), 1U);
        cr_assert(reader.errors()[0].code == settings_errc::unreadable);
        cr_assert_eq(reader.errors()[0].file, path);
    }
    char name[] = "/tmp/limpetlock-settings-XXXXXX";
    const int fd = mkstemp(name);
    cr_assert_geq(fd, 0);
    cr_assert(reader.read_file(name).has_value(), "an empty file is fine without required keys");
    std::ofstream(name) << "[a]\nb=1\n";
    cr_assert_not(reader.read_file(name).has_value());
    cr_assert(reader.errors()[0].code == settings_errc::unknown_section);
    std::remove(name);
}

// Guards against an example file without one of the keys, and against one that the reader rejects.
Test(settings, example_is_complete_and_valid)
{
    settings_reader reader(schema());
    auto text = reader.example();
    cr_assert_neq(
        text.find(
            "# Open connections.\n# integer in connections, 1 to 4096, default 100\nconnections = 100\n"),
        std::string::npos);
    cr_assert_neq(text.find("# duration in ms, at least 10, default 60000\nidle = 60000\n"),
                  std::string::npos);
    cr_assert_neq(text.find("# IP address with port, required\n#callers = \n"), std::string::npos);
    cr_assert_not(reader.read_text(text, "f.ini").has_value());
    cr_assert_eq(reader.errors().size(), 1U);
    text.replace(text.find("#callers = "), 11, "callers = 127.0.0.1:1");
    cr_assert(reader.read_text(text, "f.ini").has_value());
}
