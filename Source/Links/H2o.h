// Includes the h2o headers with C linkage, which some of them do not declare.

#ifndef MIMOSASHUNT_LINKS_H2O_H
#define MIMOSASHUNT_LINKS_H2O_H

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}

#endif
