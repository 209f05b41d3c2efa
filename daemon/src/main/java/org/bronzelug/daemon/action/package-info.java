/** Calls of application runners: non-idempotent ones run at most once (DESIGN.md "Actions"). */
package org.bronzelug.daemon.action;
