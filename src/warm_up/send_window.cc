#include "warm_up/send_window.h"

namespace valvekeel::warm_up {

void send_window::add(std::size_t requests, common::Instant now) {
  while (!this->sent.empty() && this->sent.front().at + SEND_WINDOW <= now) {
    this->sent.pop_front();
  }
  this->sent.push_back({now, requests});
}

std::size_t send_window::count(common::Instant now) const {
  std::size_t total = 0;
  for (const send_record& each : this->sent) {
    total += each.at + SEND_WINDOW > now ? each.requests : 0;
  }
  return total;
}

common::Instant send_window::earliest_send_time(std::size_t limit, std::size_t requests,
                                                common::Instant now) const {
  std::size_t counted = this->count(now);
  common::Instant at = now;
  for (const send_record& each : this->sent) {
    if (counted == 0 || counted + requests <= limit) {
      break;
    }
    if (each.at + SEND_WINDOW > now) {
      counted -= each.requests;
      at = each.at + SEND_WINDOW;
    }
  }
  return at;
}

}  // namespace valvekeel::warm_up
