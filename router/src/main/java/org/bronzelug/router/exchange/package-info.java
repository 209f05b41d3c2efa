/** Handles a request from its arrival to its last byte: admission, dispatch, retries, response. */
package org.bronzelug.router.exchange;
