// A small HTTP/1.1 server and client on loopback: one thread for each connection, bodies with Content-Length.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace Review {

struct Request
{
    std::string method;
    std::string path;                         // without the query
    std::map<std::string, std::string> query; // decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
    bool reset = false;  // resets the connection instead of answering
    bool silent = false; // never answers; the connection stays open
};

using Handler = std::function<Response(const Request &)>;

// Listens on 127.0.0.1. stop() closes the port and resets all connections, as the crash of a process does.
class Server
{
public:
    explicit Server(Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void start(int port = 0); // 0: any free port
    void stop();
    int port() const;
    std::string address() const;

private:
    struct Shared;
    static void serve(const std::shared_ptr<Shared> &shared, int fd);

    Handler m_handler;
    std::shared_ptr<Shared> m_shared;
    std::thread m_thread;
    int m_port = 0;
};

struct Answer
{
    int status = 0; // 0: no answer
    std::string body;
};

// One call over a connection of its own. host: the Host header.
Answer call(int port, const std::string &method, const std::string &path, const std::string &host,
            const std::string &body, int timeoutMs);

} // namespace Review
