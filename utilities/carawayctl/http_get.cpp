#include "http_get.hpp"

#include "platform/platform_client.hpp"

#include <QEventLoop>
#include <QUrl>

#include <optional>

namespace caraway {

namespace {

constexpr duration silence_timeout{3000};
constexpr duration timeout{20'000};
constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;

} // namespace

result<std::string> http_get(std::string const& url) {
    if (QUrl(QString::fromStdString(url)).host().isEmpty()) {
        return fail({result_code::io_failed, url + " names no host."});
    }
    platform_client client(url, {.max_body = max_body_bytes, .max_transfer_time = timeout - silence_timeout});
    QEventLoop loop;
    std::optional<platform_reply> received;
    client.get("", silence_timeout, [&](platform_reply const& reply) {
        received = reply;
        loop.quit();
    });
    loop.exec();
    if (!received || !received->is_ok()) {
        return fail(
            {result_code::io_failed, url + ": " + (received ? received->failure() : "no answer") + "."});
    }
    return std::move(received->body);
}

} // namespace caraway
