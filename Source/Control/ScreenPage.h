// The HTML page of the shared screen.

#ifndef MIMOSASHUNT_CONTROL_SCREENPAGE_H
#define MIMOSASHUNT_CONTROL_SCREENPAGE_H

#include <string>

namespace mimosashunt {

/// Returns the page. It is self-contained: styles and scripts are inline.
const std::string &screenPage();

} // namespace mimosashunt

#endif
