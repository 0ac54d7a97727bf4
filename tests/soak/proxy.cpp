#include "proxy.h"

#include <algorithm>
#include <string>
#include <utility>

namespace greengagechute::soak {

namespace {

constexpr std::size_t endless_most = std::size_t{64} << 20U;
constexpr std::size_t endless_block = std::size_t{256} << 10U;
constexpr milliseconds endless_every{5};
constexpr milliseconds idle_before_repeat{30};

void remove_header(std::string& message, const std::string& name) {
    const std::size_t begin = message.find(name + ": ");
    if (begin != std::string::npos) {
        message.erase(begin, message.find("\r\n", begin) + 2 - begin);
    }
}

}  // namespace

proxy::proxy(wire::event_loop& own_loop, wire::endpoint first_target)
    : loop(own_loop),
      target(std::move(first_target)),
      listener(own_loop,
               [this](std::shared_ptr<wire::stream> near) { this->accept(std::move(near)); }) {
    static_cast<void>(this->listener.open({"127.0.0.1", 0}));
    this->own = {"127.0.0.1", this->listener.port()};
}

void proxy::set_listening(bool enabled) {
    if (this->listening != enabled) {
        this->listening = enabled;
        if (enabled) {
            static_cast<void>(this->listener.open(this->own));
        } else {
            this->listener.close();
        }
    }
}

void proxy::accept(std::shared_ptr<wire::stream> near) {
    std::erase_if(this->pairs, [](const auto& one) { return one->near == nullptr; });
    const auto made = std::make_shared<pair>();
    made->near = std::move(near);
    this->pairs.push_back(made);
    const std::weak_ptr<pair> weak = made;
    const auto handlers_of = [this, weak](bool forward) {
        wire::stream_handlers handlers;
        handlers.data = [this, weak, forward](std::string_view bytes) {
            this->pass(weak, forward, bytes);
        };
        handlers.ended = [weak](wire::stream_end) {
            if (const auto connection = weak.lock()) {
                close(*connection);
            }
        };
        return handlers;
    };
    made->near->set_handlers(handlers_of(true));
    made->far = wire::stream::connect(this->loop, this->target, handlers_of(false));
}

void proxy::pass(const std::weak_ptr<pair>& connection, bool forward, std::string_view bytes) {
    const auto open = connection.lock();
    if (!open || open->silent || (!forward && open->endless)) {
        return;
    }
    if (forward ? this->fault.drops_forward : this->fault.drops_backward) {
        open->silent = true;
        return;
    }
    const auto send = [connection, forward,
                       text =
                           forward ? std::string(bytes) : this->spoil(open, std::string(bytes))] {
        const auto still_open = connection.lock();
        if (still_open && still_open->near != nullptr && still_open->far != nullptr) {
            (forward ? still_open->far : still_open->near)->write(text);
        }
    };
    if (this->fault.delay > milliseconds{0}) {
        this->loop.call_after(this->fault.delay, send);
    } else {
        send();
    }
}

std::string proxy::spoil(const std::shared_ptr<pair>& open, std::string text) {
    const std::string before = std::exchange(open->repeated, {});
    const std::string name = std::string(defect_header) + ": ";
    const std::size_t mark = text.find(name);
    if (mark == std::string::npos) {
        return before + text;
    }
    const std::size_t value = mark + name.size();
    const std::string kind = text.substr(value, text.find("\r\n", value) - value);
    remove_header(text, defect_header);
    if (kind.starts_with("repeat")) {
        open->repeated = text;
        if (kind == "repeat-idle") {
            this->loop.call_after(idle_before_repeat,
                                  [this, weak = std::weak_ptr(open)] { this->repeat(weak); });
        }
        return before + text;
    }
    open->endless = true;
    const bool chunked = kind == "endless-body";
    remove_header(text, "Content-Length");
    text.erase(text.find("\r\n\r\n") + 2);
    text += chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Filler: ";
    this->loop.call_after(
        endless_every, [this, weak = std::weak_ptr(open), chunked] { this->pour(weak, chunked); });
    return before + text;
}

void proxy::repeat(const std::weak_ptr<pair>& connection) {
    const auto open = connection.lock();
    if (open && open->near != nullptr && !open->silent) {
        open->near->write(std::exchange(open->repeated, {}));
    }
}

void proxy::pour(const std::weak_ptr<pair>& connection, bool chunked) {
    const auto open = connection.lock();
    if (!open || open->near == nullptr) {
        return;
    }
    std::size_t& most = chunked ? this->taken_of_bodies : this->taken_of_heads;
    most = std::max(most, open->written - std::min(open->written, open->near->pending()));
    if (open->written >= endless_most) {
        close(*open);
        return;
    }
    if (open->near->pending() == 0) {
        const std::string block(endless_block, 'x');
        open->near->write(chunked ? "40000\r\n" + block + "\r\n" : block);
        open->written += endless_block;
    }
    this->loop.call_after(endless_every,
                          [this, connection, chunked] { this->pour(connection, chunked); });
}

void proxy::close(pair& connection) {
    const auto near = std::exchange(connection.near, nullptr);
    const auto far = std::exchange(connection.far, nullptr);
    if (near != nullptr) {
        near->close();
    }
    if (far != nullptr) {
        far->close();
    }
}

void proxy::silence() {
    for (const auto& one : this->pairs) {
        one->silent = true;
    }
}

void proxy::reset() {
    for (const auto& one : this->pairs) {
        close(*one);
    }
    this->pairs.clear();
}

}  // namespace greengagechute::soak
