/// Answers of a node, or of something at its address, that say nothing.

#include "http_get.hpp"
#include "support/application.hpp"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <string>

using namespace caraway;
using caraway::tests::application;

namespace {

/// What is read from a server that sends the bytes and closes the connection; "(failed)" when nothing is.
std::string text_read_from(std::string const& bytes) {
    application();
    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&server, &bytes] {
        auto* const socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, &bytes] {
            socket->readAll();
            socket->write(QByteArray::fromStdString(bytes));
            socket->disconnectFromHost();
        });
    });
    auto const url = "http://127.0.0.1:" + std::to_string(server.serverPort()) + "/status";
    return attempt_or([&] { return http_get(url); }, [](problem const&) { return std::string("(failed)"); });
}

} // namespace

TEST_CASE("only a whole answer with status 200 is used") {
    std::string const length = "Content-Length: 4\r\n";
    CHECK(text_read_from("HTTP/1.1 200 OK\r\n" + length + "\r\nbody") == "body");
    CHECK(text_read_from(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nName: a\r\n\r\n") ==
          "body");
    CHECK(text_read_from("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nbody") == "body");
    for (std::string const status : {"000", "001", "099", "101", "102", "204", "206", "299", "301", "304",
                                     "404", "500", "503", "600", "999", "2000", "20", "20x"}) {
        CAPTURE(status);
        CHECK(text_read_from("HTTP/1.1 " + status + " Odd\r\n" + length + "\r\nbody") == "(failed)");
    }
    for (std::string const lines :
         {"Name: a\r\n b\r\n" + length, "Na me: a\r\n" + length, "Name : a\r\n" + length,
          "Name\x01: a\r\n" + length, std::string("Content-Length: 4\r\nContent-Length: 3\r\n"),
          std::string("Content-Length: 9\r\n"), "Name: a\x02\r\n" + length,
          std::string("Content-Length:\r\n 4\r\n")}) {
        CAPTURE(lines);
        CHECK(text_read_from("HTTP/1.1 200 OK\r\n" + lines + "\r\nbody") == "(failed)");
    }
}
