/** Calls to application runners. Non-idempotent calls run at most once (DESIGN.md "Actions"). */
package org.bronzelug.daemon.action;
