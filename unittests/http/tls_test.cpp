#include "fixture.hpp"

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <stdexcept>

using namespace limpetlock;
using namespace limpetlock::http;
using namespace limpetlock::http::testing;

namespace ssl = boost::asio::ssl;

namespace {

/// A self-signed certificate in a directory of its own.
class certificate {
public:
    certificate()
    {
        cr_assert_not_null(mkdtemp(directory_));
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> it(X509_new(), X509_free);
        ASN1_INTEGER_set(X509_get_serialNumber(it.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(it.get()), -3600);
        X509_gmtime_adj(X509_getm_notAfter(it.get()), 3600);
        X509_set_pubkey(it.get(), key.get());
        auto* name = X509_get_subject_name(it.get());
        const auto* text = reinterpret_cast<const unsigned char*>("limpetlock test");
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
        X509_set_issuer_name(it.get(), name);
        cr_assert_gt(X509_sign(it.get(), key.get(), EVP_sha256()), 0);
        write(files().certificate, [&](FILE* out) { return PEM_write_X509(out, it.get()); });
        write(files().key, [&](FILE* out) {
            return PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    }
    certificate(const certificate&) = delete;
    certificate& operator=(const certificate&) = delete;
    ~certificate()
    {
        std::remove(files().certificate.c_str());
        std::remove(files().key.c_str());
        std::remove(directory_);
    }

    tls_files files() const
    {
        const std::string base = directory_;
        return {base + "/certificate.pem", base + "/key.pem"};
    }

private:
    template <typename Write>
    static void write(const std::string& path, Write body)
    {
        FILE* out = std::fopen(path.c_str(), "w");
        cr_assert_not_null(out);
        cr_assert_eq(body(out), 1);
        std::fclose(out);
    }

    char directory_[32] = "/tmp/limpetlock-tls-XXXXXX";
};

/// A blocking TLS caller that trusts one certificate.
class tls_connection {
public:
    tls_connection(std::uint16_t port, const std::string& trusted) : stream_(context_, tls_)
    {
        tls_.load_verify_file(trusted);
        stream_.set_verify_mode(ssl::verify_peer);
        stream_.next_layer().connect({asio::ip::make_address("127.0.0.1"), port});
        stream_.handshake(ssl::stream_base::client);
    }

    void send(std::string_view text) { asio::write(stream_, asio::buffer(text)); }

    std::string read_until(std::string_view suffix)
    {
        std::string text;
        char byte = 0;
        while (!text.ends_with(suffix) && stream_.read_some(asio::buffer(&byte, 1)) == 1)
            text += byte;
        return text;
    }

    /// Returns the rest of the stream. Appends "(cut)" if it ends without close_notify.
    std::string read_all()
    {
        std::string text;
        boost::system::error_code ec;
        asio::read(stream_, asio::dynamic_buffer(text), ec);
        return ec == asio::error::eof ? text : text + "(cut)";
    }

    void close() { stream_.next_layer().close(); }

private:
    asio::io_context context_;
    ssl::context tls_{ssl::context::tls_client};
    ssl::stream<tcp::socket> stream_;
};

std::atomic<int> closed_count{0};

asio::awaitable<void> answer_by_target(exchange& it)
{
    const auto target = it.message().target;
    header_list headers;
    if (target == "/wait") {
        co_await it.wait_closed();
        ++closed_count;
        co_return;
    }
    co_await it.begin_stream(200, headers);
    co_await it.write(it.message().body);
    co_await it.write("two");
    if (target != "/cut")
        co_await it.finish();
}

} // namespace

// Guards against TLS answers that are damaged or cut at their end, against connections that aren't
// persistent, and against a cut stream that looks complete.
Test(tls, exchanges_over_one_connection)
{
    const certificate files;
    runtime threads;
    server host(threads.executor(), "127.0.0.1", 0, {}, answer_by_target, files.files());
    const std::string body(100000, 'x');
    const std::string head = " HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n";
    tls_connection connection(host.port(), files.files().certificate);
    for (int n = 0; n < 3; ++n) {
        connection.send("POST /" + head + "\r\n" + body);
        const auto answer = connection.read_until("0\r\n\r\n");
        cr_assert_neq(answer.find("\r\n186a0\r\n" + body + "\r\n3\r\ntwo\r\n"), std::string::npos);
    }
    connection.send("POST /" + head + "Connection: close\r\n\r\n" + body);
    cr_assert(connection.read_all().ends_with("two\r\n0\r\n\r\n"));
    tls_connection cut(host.port(), files.files().certificate);
    cut.send("POST /cut" + head + "\r\n" + body);
    cr_assert(cut.read_all().ends_with("two\r\n(cut)"));
}

// Guards against a TLS caller whose close goes unnoticed, and against callers without TLS that block the
// listener or keep their connections.
Test(tls, callers_that_leave_or_speak_no_tls)
{
    const certificate files;
    runtime threads;
    server_limits limits;
    limits.header_timeout = duration(200);
    server host(threads.executor(), "127.0.0.1", 0, limits, answer_by_target, files.files());
    raw_connection silent(host.port());
    raw_connection plain(host.port());
    plain.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert_eq(plain.read_all().find("HTTP"), std::string::npos);
    cr_assert_eq(silent.read_all(), "");
    tls_connection connection(host.port(), files.files().certificate);
    connection.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([&] { return host.active_requests() == 1; }));
    connection.close();
    cr_assert(eventually([] { return closed_count == 1; }));
}

// Guards against a server that starts without its key, or an error that doesn't name the file.
Test(tls, unusable_files_throw)
{
    const certificate files;
    runtime threads;
    auto wrong = files.files();
    wrong.key = "/no/such/key.pem";
    try {
        const server host(threads.executor(), "127.0.0.1", 0, {}, answer_by_target, wrong);
        cr_assert_fail("no exception");
    } catch (const std::runtime_error& fault) {
        cr_assert_not_null(std::strstr(fault.what(), wrong.key.c_str()));
    }
}
