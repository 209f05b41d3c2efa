/** The operators' gRPC service: changes with their audit trail, and status. */
package org.bronzelug.daemon.operator;
