/**
 * Acquisition of claims, which one VM at a time may hold (rate shares and orders to load weights),
 * and the upkeep of this VM's roster entry.
 */
package org.bronzelug.daemon.claim;
