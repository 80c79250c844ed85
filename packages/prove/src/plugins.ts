/** Registers the same plug-ins as the binaries of schedulers and entries. */
import "@mustardweir/configuration";
import "@mustardweir/membership";
import "@mustardweir/journal";
import "@mustardweir/placement";
import "@mustardweir/fairness";
import "@mustardweir/quarantine";
import "@mustardweir/slice";
import "@mustardweir/home";
import "@mustardweir/admission";
