/** Taking over what one VM at a time may use: rate shares, orders, and the roster's entry. */
package org.bronzelug.daemon.claim;
