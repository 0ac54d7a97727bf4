// Small blocking HTTP/1.1 and process helpers that the stand-ins of the second review share.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;

inline std::int64_t now_ms() {
    static const auto start = clock_type::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - start).count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// What was sent, answered and run, one line each; written to record.txt.
class record {
public:
    explicit record(const std::string& path) : out(path) {}
    void add(const std::string& line) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->out << now_ms() << " " << line << "\n";
        this->out.flush();
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::size_t body_size = 0;

    std::string header(const char* name) const {
        for (const auto& [key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
};

/// A connected socket with a receive buffer. Not shared between threads, but for `shut`.
class connection {
public:
    explicit connection(int opened) : fd(opened) {
        const int on = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { ::close(this->fd); }

    bool send(const std::string& bytes) { return this->send(bytes.data(), bytes.size()); }
    bool send(const char* data, std::size_t size) {
        while (size > 0) {
            const ssize_t sent = ::send(this->fd, data, size, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            data += sent;
            size -= static_cast<std::size_t>(sent);
        }
        return true;
    }

    /// Reads one message whose body has a length. Keeps at most `keep` bytes of the body.
    bool read(message& into, std::size_t keep = 1U << 20U) {
        into = {};
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill()) {
                return false;
            }
        }
        std::string head = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        into.first_line = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t first = colon + 1;
                while (first < line.size() && line[first] == ' ') {
                    ++first;
                }
                into.headers.emplace_back(line.substr(0, colon), line.substr(first));
            }
            at = next;
        }
        const std::string length = into.header("Content-Length");
        std::size_t left = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
        into.body_size = left;
        while (left > 0) {
            if (this->buffer.empty() && !this->fill()) {
                return false;
            }
            const std::size_t part = std::min(left, this->buffer.size());
            if (into.body.size() < keep) {
                into.body.append(this->buffer, 0, std::min(part, keep - into.body.size()));
            }
            this->buffer.erase(0, part);
            left -= part;
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool is_closed() const {
        char byte = 0;
        const ssize_t count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    void shut() { ::shutdown(this->fd, SHUT_RDWR); }
    int native() const { return this->fd; }

private:
    bool fill() {
        char bytes[65536];
        const ssize_t count = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int fd;
    std::string buffer;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Opens a listener on a free loopback port and returns its descriptor and port.
inline std::pair<int, int> listen_on_free_port() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 511) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    return {fd, ntohs(address.sin_port)};
}

/// A port that was free a moment ago, for a process that opens it itself.
inline int free_port() {
    const auto [fd, port] = listen_on_free_port();
    ::close(fd);
    return port;
}

/// Returns a connected socket, or -1.
inline int dial(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline std::string response(const std::string& status,
                            const std::vector<std::pair<std::string, std::string>>& headers,
                            const std::string& body) {
    std::string bytes = "HTTP/1.1 " + status + "\r\n";
    for (const auto& [name, value] : headers) {
        bytes += name + ": " + value + "\r\n";
    }
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int status_of(const message& answer) {
    return answer.first_line.size() > 12 ? std::atoi(answer.first_line.c_str() + 9) : 0;
}

}  // namespace review
