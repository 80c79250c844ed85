/** Registers the plug-ins of schedulers and entries, as their binaries do. */
import "@mustardweir/configuration";
import "@mustardweir/membership";
import "@mustardweir/journal";
import "@mustardweir/placement";
import "@mustardweir/fairness";
import "@mustardweir/quarantine";
import "@mustardweir/slice";
import "@mustardweir/home";
import "@mustardweir/admission";
