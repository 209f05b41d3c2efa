/**
 * Which parts of prompts crash the endpoints that begin to respond to them, as inferred from the
 * crashes of endpoints and from the requests that endpoints survived.
 */
package org.bronzelug.core.poison;
