/** Registers the same plug-ins as the binary of the combined node. */
import "@mustardweir/store-route";
import "@mustardweir/replica";
import "@mustardweir/tenure";
import "@mustardweir/sessions";
import "@mustardweir/permits";
import "@mustardweir/reservations";
import "@mustardweir/run-times";
import "@mustardweir/locality";
import "@mustardweir/dispatch";
import "@mustardweir/departures";
import "@mustardweir/intake";
