/*
 * Error numbers of the base package. Every package has its own range of 100
 * negative error numbers; 0 is success in all of them.
 */
#ifndef CASSIA_ERROR_H
#define CASSIA_ERROR_H

enum base_error {
	BASE_OK = 0,
	BASE_ENOMEM = -1001,
	BASE_EINVAL = -1002,
	BASE_ERANGE = -1003,
};

#endif
